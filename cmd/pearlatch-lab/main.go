// Command pearlatch-lab runs pearlatch hosts together with stand-ins for the systems
// around them, for demonstrations, benchmarks and fault injection.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1 // the run failed, or an invariant was violated
	exitUsage  = 2 // the command line is invalid
)

func main() {
	p := flags.NewNamedParser("pearlatch-lab", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Runs pearlatch hosts and stand-ins in one process. Exit codes: 0 done, 1 failed or an invariant broke, 2 wrong usage."
	addCommand(p, "demo", "Run a site, kill a primary, report", &demoCommand{})
	addCommand(p, "up", "Run a site until interrupted, with faults on request", &upCommand{})
	addCommand(p, "bench", "Measure", &benchCommand{})
	addCommand(p, "host", "Run one host as a process, for the soak", &hostCommand{})
	addCommand(p, "site", "Run a site with hosts as processes until interrupted", &siteCommand{})
	addCommand(p, "soak", "Run hosts as processes, make things fail, check promises", &soakCommand{})
	addCommand(p, "capacity", "Work the capacity table out of measured slopes", &capacityCommand{})
	addCommand(p, "timeline", "Summarize the log lines of many hosts by second", &timelineCommand{})
	_, err := p.Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "pearlatch-lab:", err)
		os.Exit(exitFailed)
	}
}

// addCommand adds a command to p. AddCommand fails only for a duplicate name, which
// is a programming error.
func addCommand(p *flags.Parser, name, short string, command any) {
	if _, err := p.AddCommand(name, short, short+".", command); err != nil {
		panic(err)
	}
}
