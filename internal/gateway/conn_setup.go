package gateway

import (
	"fmt"
	"time"

	"pearlatch/core/connstate"
)

// connState is what a pooled connection holds of the sessions that use it.
type connState = connstate.State[PreparedStatement]

// setupCommand is a command that changes what a connection holds.
type setupCommand = connstate.Command[PreparedStatement]

// toCommand converts a setup command for the member.
func toCommand(c setupCommand) Command {
	switch c := c.(type) {
	case connstate.Assign[PreparedStatement]:
		return Assign{c.Name, c.Value}
	case connstate.Define[PreparedStatement]:
		return Define{c.Name, c.Statement}
	}
	return Reset{}
}

// recordSetup records the member's answers to the commands. It returns the first failure among them, or nil.
func (g *Group) recordSetup(p *pooledConn, commands []setupCommand, replies []Reply) *Failure {
	var failure *Failure
	for i, c := range commands {
		f := replies[i].Failure
		p.state.Record(c, f == nil)
		if f != nil && failure == nil {
			failure = f
			g.log("conn_setup_refused", "member", p.member.ID, "command", setupName(c), "code", f.Code.String(), "detail", fmt.Sprintf("%.200s", f.Detail))
		}
	}
	return failure
}

// setupName returns the name of a setup command for a log line, without the value.
func setupName(c setupCommand) string {
	switch c := c.(type) {
	case connstate.Assign[PreparedStatement]:
		return "set " + c.Name
	case connstate.Define[PreparedStatement]:
		return "prepare"
	}
	return "reset"
}

// setUp makes the connection hold just the values, and awaits the member's answers: a statement that is sent together with
// a command runs even if that command is refused. The error is that of a connection that failed.
func (g *Group) setUp(p *pooledConn, values map[string]string, timeout time.Duration) (*Failure, error) {
	return g.runSetup(p, p.state.Setup(values), timeout)
}

// runSetup sends the commands and awaits the answers.
func (g *Group) runSetup(p *pooledConn, setup []setupCommand, timeout time.Duration) (*Failure, error) {
	if len(setup) == 0 {
		return nil, nil
	}
	replies, err := p.conn.Do(timeout, toCommands(setup)...)
	if err != nil {
		return nil, err
	}
	return g.recordSetup(p, setup, replies), nil
}

func toCommands(setup []setupCommand) []Command {
	out := make([]Command, len(setup))
	for i, c := range setup {
		out[i] = toCommand(c)
	}
	return out
}

// prepareCommands returns the definition that the statement needs on the connection, if any, and its name there.
func (p *pooledConn) prepareCommands(statement *PreparedStatement) (define []setupCommand, name string) {
	if statement == nil {
		return nil, ""
	}
	name, d := p.state.Prepare(*statement)
	if d != nil {
		define = []setupCommand{*d}
	}
	return define, name
}
