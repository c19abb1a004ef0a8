// Command pearlatch is a PostgreSQL proxy with session consistency.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes. They are part of the command-line interface.
const (
	exitFailed   = 1 // the command failed
	exitUsage    = 2 // the command line, settings or a document is invalid
	exitConflict = 3 // the configuration has changed meanwhile
)

// exitError is an error that sets the exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

const longDescription = "A PostgreSQL proxy with session consistency: every caller reads its own writes on any host.\n\n" +
	"Exit codes: 0 done, 1 failed, 2 wrong usage or an invalid file, 3 the configuration has changed meanwhile."

func main() {
	p := flags.NewNamedParser("pearlatch", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longDescription
	addCommand(p, "serve", "Run a host", "Runs a host until SIGTERM or SIGINT, which drain it: no request in flight is cut.", &serveCommand{})
	addCommand(p, "check", "Check a settings file or a configuration document", "Reports every mistake found, with line, field and reason. Exit code 2 if there is one.", &checkCommand{})
	addCommand(p, "dump", "Show the state of a running host", "Prints the state of the host whose operator address is given, as JSON, or its load as a table. For pearlatch gateway the address is that of its metrics.", &dumpCommand{})
	addCommand(p, "drain", "Drain a running host", "Orders the host whose operator address is given to shut down gracefully.", &drainCommand{})
	addCommand(p, "gateway", "Run a host on the platform of the users", "Runs a host whose members acknowledge writes themselves, until SIGTERM. The settings file may also be named by PEARLATCH_SETTINGS.", &gatewayCommand{})
	addConfigCommands(p)
	addCommand(p, "version", "Show the version", "Prints the version of the program and of the protocols it speaks.", &versionCommand{})
	_, err := p.Parse()
	os.Exit(reportError(err))
}

// reportError prints err, or a requested help text, and returns the exit code.
func reportError(err error) int {
	var flagsErr *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(os.Stderr, exit)
		return exit.code
	}
	fmt.Fprintln(os.Stderr, "pearlatch:", err)
	return exitFailed
}

// addCommand adds a command to p. AddCommand fails only for a duplicate name, which
// is a programming error.
func addCommand(p *flags.Parser, name, short, long string, command any) {
	if _, err := p.AddCommand(name, short, long, command); err != nil {
		panic(err)
	}
}
