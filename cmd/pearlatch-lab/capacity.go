package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"pearlatch/internal/capacity"
	"pearlatch/internal/lab"
)

// slopesCommand measures slopes.
type slopesCommand struct{ outputOptions }

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	slopes, err := lab.BenchSlopes(lab.SlopesOptions{Out: os.Stdout, Logger: c.logger()})
	if err != nil {
		return err
	}
	return c.writeResult(slopes)
}

// capacityCommand works the capacity table out.
type capacityCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"result of bench slopes --json"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "capacity")
	}
	var slopes []capacity.Series
	if err := json.Unmarshal(text, &slopes); err != nil {
		return errors.Wrapf(err, "capacity: %s", c.Args.File)
	}
	fmt.Print(capacity.Markdown(capacity.Compute(capacity.PlannedFleet(), slopes), slopes))
	return nil
}
