package soak

import (
	"context"
	"strings"
	"time"

	"pearlatch/core/group"
	"pearlatch/internal/gateway"
)

// flawedConns returns a flaw that changes each connection to a member.
func flawedConns(change func(gateway.Conn) gateway.Conn) func(*gateway.Ports) {
	return func(p *gateway.Ports) { p.Dialer = flawedDialer{p.Dialer, change} }
}

type flawedDialer struct {
	gateway.Dialer
	change func(gateway.Conn) gateway.Conn
}

func (d flawedDialer) Dial(ctx context.Context, m gateway.Member, account string) (gateway.Conn, error) {
	c, err := d.Dialer.Dial(ctx, m, account)
	if err != nil {
		return nil, err
	}
	return d.change(c), nil
}

// mapStatements returns a copy of commands with the statements of callers changed.
func mapStatements(commands []gateway.Command, change func(*gateway.RunStatement)) []gateway.Command {
	out := make([]gateway.Command, len(commands))
	for i, c := range commands {
		if s, ok := c.(gateway.RunStatement); ok {
			change(&s)
			c = s
		}
		out[i] = c
	}
	return out
}

// noPositionConn drops the position that a member must have applied before it runs a statement.
type noPositionConn struct{ gateway.Conn }

func (c noPositionConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	return c.Conn.Do(timeout, mapStatements(commands, func(s *gateway.RunStatement) { s.After = group.Position{} })...)
}

// doubleWriteConn sends each single write twice.
type doubleWriteConn struct{ gateway.Conn }

func (c doubleWriteConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	last, ok := commands[len(commands)-1].(gateway.RunStatement)
	if _, writes := last.Request.Statement.(gateway.Write); ok && writes {
		commands = append(commands, last)
	}
	return c.Conn.Do(timeout, commands...)
}

// falseRefusalConn reports a write whose answer was lost as refused.
type falseRefusalConn struct{ gateway.Conn }

func (c falseRefusalConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	replies, err := c.Conn.Do(timeout, commands...)
	last, ok := commands[len(commands)-1].(gateway.RunStatement)
	if _, writes := last.Request.Statement.(gateway.Write); err != nil && ok && writes {
		for len(replies) < len(commands) {
			replies = append(replies, gateway.Reply{Failure: &gateway.Failure{Code: gateway.Aborted}})
		}
		return replies, nil
	}
	return replies, err
}

// changedValueConn assigns other values to the connection than the session has.
type changedValueConn struct{ gateway.Conn }

func (c changedValueConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	for i, command := range commands {
		if a, ok := command.(gateway.Assign); ok {
			a.Value += "x"
			commands[i] = a
		}
	}
	return c.Conn.Do(timeout, commands...)
}

// renamedRequestConn changes the identifiers of requests.
type renamedRequestConn struct{ gateway.Conn }

func (c renamedRequestConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	return c.Conn.Do(timeout, mapStatements(commands, func(s *gateway.RunStatement) { s.Request.ID += "x" })...)
}

// gullibleConn makes each signature a new one, so that repeated answers are not told from the answers to later requests.
type gullibleConn struct {
	gateway.Conn
	seen map[string]bool
}

func (c *gullibleConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	replies, err := c.Conn.Do(timeout, commands...)
	for i := range replies {
		c.renew(&replies[i])
	}
	return replies, err
}

func (c *gullibleConn) Receive() (gateway.Reply, error) {
	reply, err := c.Conn.Receive()
	c.renew(&reply)
	return reply, err
}

func (c *gullibleConn) renew(r *gateway.Reply) {
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	for r.Signature != "" && c.seen[r.Signature] {
		r.Signature += "x"
	}
	c.seen[r.Signature] = true
}

// cutTextConn cuts the texts of statements at the first line feed.
type cutTextConn struct{ gateway.Conn }

func (c cutTextConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	return c.Conn.Do(timeout, mapStatements(commands, func(s *gateway.RunStatement) {
		s.Request.Text, _, _ = strings.Cut(s.Request.Text, "\n")
	})...)
}
