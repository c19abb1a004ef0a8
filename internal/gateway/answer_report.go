package gateway

import "fmt"

// answerEvent is an answer that was not accepted at once, or unread data on a connection that is not in use.
type answerEvent struct {
	// request is the identifier of the caller's request that waits for the answer, or empty.
	request, command string
	// outcome is a verdict, or what resolved an ambiguous answer.
	outcome string
	reply   Reply
}

// outcomeConfirmed is the outcome of a failure that might have been a copy, and was shown to be none.
const outcomeConfirmed = "confirmed"

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
	if e.outcome == outcomeConfirmed {
		return // frequent while members are busy
	}
	code := ""
	if e.reply.Failure != nil {
		code = e.reply.Failure.Code.String()
	}
	g.log("answer_not_matched", "member", memberID, "request", e.request, "command", e.command, "outcome", e.outcome,
		"signature", fmt.Sprintf("%.64s", e.reply.Signature), "code", code, "rows", len(e.reply.Rows), "state", e.reply.State.String(), "position", e.reply.Position)
}
