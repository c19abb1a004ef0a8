package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/timeline"
)

// timelineCommand summarizes log lines of hosts.
type timelineCommand struct {
	Interval time.Duration `long:"interval" default:"1s" description:"duration that a row of the table covers"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"log lines of one or more hosts; - is the standard input"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	if c.Interval <= 0 {
		return errors.Errorf("timeline: --interval %s is not positive", c.Interval)
	}
	var lines []timeline.Line
	skipped := 0
	for _, name := range c.Args.Files {
		n, err := readLines(name, func(l timeline.Line) { lines = append(lines, l) })
		if err != nil {
			return errors.Wrapf(err, "timeline: %s", name)
		}
		skipped += n
	}
	if len(lines) == 0 {
		return errors.Errorf("timeline: none of %d lines is a log line of a host", skipped)
	}
	fmt.Print(timeline.Format(timeline.Summarize(lines, c.Interval)))
	fmt.Printf("%d lines, and %d that are no log lines of a host\n", len(lines), skipped)
	return nil
}

// readLines reads the log lines of a file, or of the standard input if the name is "-". It returns the number of other
// lines.
func readLines(name string, add func(timeline.Line)) (skipped int, err error) {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return 0, err
		}
		defer f.Close()
		r = f
	}
	return timeline.Read(r, add)
}
