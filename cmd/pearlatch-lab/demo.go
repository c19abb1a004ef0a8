package main

import (
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/lab"
)

// demoCommand runs the demo.
type demoCommand struct {
	outputOptions
	Duration time.Duration `long:"duration" default:"10s" description:"how long the load runs"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load's choices"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	res, err := lab.Demo(lab.DemoOptions{Duration: c.Duration, Seed: c.Seed, Out: os.Stdout, Logger: c.logger()})
	if err != nil {
		return err
	}
	res.Print(os.Stdout)
	if err := c.writeResult(res); err != nil {
		return err
	}
	if broken := res.Broken(); len(broken) > 0 {
		return errors.New(strings.Join(broken, "; "))
	}
	return nil
}
