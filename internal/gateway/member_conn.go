package gateway

import (
	"context"
	"time"

	"pearlatch/core/answer"
)

// verifyingDialer opens connections that report answers which may belong to another command.
type verifyingDialer struct {
	Dialer
	report func(memberID string, e answerEvent)
}

// Dial implements Dialer.
func (d verifyingDialer) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	c, err := d.Dialer.Dial(ctx, m, account)
	if err != nil {
		return nil, err
	}
	return &memberConn{Conn: c, report: func(e answerEvent) { d.report(m.ID, e) }}, nil
}

// answerEvent is an answer that was not accepted at once, or unread data on a connection that is not in use.
type answerEvent struct {
	// request is the identifier of the caller's request that waits for the answer, or empty.
	request, command string
	// outcome is a verdict, or what resolved an ambiguous answer.
	outcome string
	reply   Reply
}

// memberConn reports answers that may belong to another command, as core/answer decides.
type memberConn struct {
	Conn
	answers answer.History
	state   State
	report  func(answerEvent)
}

// Alive implements Conn.
func (c *memberConn) Alive() bool {
	if !c.Conn.Alive() {
		if u, ok := c.Conn.(interface{ HoldsData() bool }); ok && u.HoldsData() {
			c.report(answerEvent{outcome: "unasked"})
		}
		return false
	}
	return true
}

// Do implements Conn.
func (c *memberConn) Do(timeout time.Duration, commands ...Command) ([]Reply, error) {
	replies, err := c.Conn.Do(timeout, commands...)
	for i, reply := range replies {
		if verdict := c.answers.Judge(c.expect(commands[i]), toAnswer(reply)); verdict != answer.Accepted {
			c.reportAnswer(commands[i], verdict.String(), reply)
		}
		c.state = reply.State
	}
	return replies, err
}

// expect returns what the success of the command looks like.
func (c *memberConn) expect(command Command) answer.Expectation {
	state := answer.State(c.state)
	switch command := command.(type) {
	case RunStatement:
		if _, ends := command.Request.Statement.(Commit); ends {
			state = answer.Idle
		}
		return answer.Expectation{Signed: true, State: state}
	case OpenTransaction:
		state = answer.InTransaction
	case Abort:
		state = answer.Idle
	}
	return answer.Expectation{State: state}
}

// toAnswer returns the parts of a reply that its verdict depends on.
func toAnswer(r Reply) answer.Answer {
	a := answer.Answer{Signature: r.Signature, Rows: r.Rows, Bare: r.Bare, State: answer.State(r.State), Position: r.Position}
	if r.Failure != nil {
		a.Code = r.Failure.Code.String()
	}
	return a
}

// reportAnswer reports an answer that was not accepted at once.
func (c *memberConn) reportAnswer(command Command, outcome string, r Reply) {
	e := answerEvent{command: commandName(command), outcome: outcome, reply: r}
	if run, ok := command.(RunStatement); ok {
		e.request = run.Request.ID
	}
	c.report(e)
}

// commandName returns the name of a command for a log line, without its values.
func commandName(c Command) string {
	switch c.(type) {
	case RunStatement:
		return "run"
	case OpenTransaction:
		return "begin"
	case Abort:
		return "rollback"
	case Assign:
		return "set"
	case Define:
		return "prepare"
	}
	return "reset"
}

// reportAnswer records an answer of the member that was not accepted at once.
func (g *Group) reportAnswer(memberID string, e answerEvent) {
	g.metrics.UnexpectedAnswer(g.name, e.outcome)
	code := ""
	if e.reply.Failure != nil {
		code = e.reply.Failure.Code.String()
	}
	g.log("answer_not_matched", "member", memberID, "request", e.request, "command", e.command, "outcome", e.outcome,
		"signature", e.reply.Signature, "code", code, "rows", len(e.reply.Rows), "state", e.reply.State.String(), "position", e.reply.Position)
}
