// Command pearlatch-lab runs pearlatch hosts and stand-ins for the systems
// around them in one process: to try, to measure, and to cause faults.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1 // the run failed, or an invariant broke
	exitUsage  = 2 // the command line is wrong
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

// addCommand adds a command. The parser refuses only a name that is used twice.
func addCommand(p *flags.Parser, name, short string, command any) {
	if _, err := p.AddCommand(name, short, short+".", command); err != nil {
		panic(err)
	}
}
