package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/answer"
	"pearlatch/core/group"
)

// errUnprovenAnswer means that an answer may belong to another request. The connection must not be used any more, and the
// outcome of the command is unknown.
var errUnprovenAnswer = errors.New("the answer may belong to another request")

// isUnproven reports whether err is an errUnprovenAnswer. The member itself has answered then, so it is not suspect.
func isUnproven(err error) bool { return errors.Is(err, errUnprovenAnswer) }

// unprovenBusy is the error of a commit that was refused for lack of a slot, as far as the connection can tell: the refusal may be a
// copy of an earlier one. The commit may be sent again on the connection, where it takes effect at most once.
type unprovenBusy struct{ failure *Failure }

func (e *unprovenBusy) Error() string { return e.failure.Error() + ": " + errUnprovenAnswer.Error() }

// Is makes the error an errUnprovenAnswer.
func (e *unprovenBusy) Is(target error) bool { return target == errUnprovenAnswer }

// verifyingDialer opens connections that return an answer only if it belongs to the command.
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

// memberConn passes on an answer only if it belongs to the command, as core/answer decides.
type memberConn struct {
	Conn
	answers answer.History
	state   State
	// confirmations is the number of statements that were prepared only to see in which state the member answers.
	confirmations int
	report        func(answerEvent)
}

// maxConfirmations bounds the prepared statements that confirmations leave on a connection.
const maxConfirmations = 256

// Alive implements Conn. A connection that has carried as much as can be kept of it counts as closed, so that it is replaced.
func (c *memberConn) Alive() bool {
	if !c.Conn.Alive() {
		if u, ok := c.Conn.(interface{ HoldsData() bool }); ok && u.HoldsData() {
			c.report(answerEvent{outcome: "unasked"})
		}
		return false
	}
	return !c.answers.Full() && c.confirmations < maxConfirmations
}

// Do implements Conn. An answer that is not known to belong to its command is the error errUnprovenAnswer.
func (c *memberConn) Do(timeout time.Duration, commands ...Command) ([]Reply, error) {
	deadline := time.Now().Add(timeout)
	last := commands[len(commands)-1]
	var confirmation []Command
	if c.state == Idle && onlySetUp(commands) {
		confirmation = []Command{OpenTransaction{ReadOnly: true}, Abort{}, last} // saves the round trip of a later confirmation
	}
	in := c.send(timeout, append(slices.Clone(commands), confirmation...)...)
	out, ambiguous, err := c.match(in, commands)
	if err != nil {
		return out, err
	}
	switch {
	case len(confirmation) > 0:
		err = c.readConfirmation(in, last, idleConfirmed)
	case ambiguous:
		err = c.resolve(deadline, last, out)
	case c.answers.Uncertain():
		err = c.confirm(deadline, last)
	}
	return out, err
}

// send sends the commands and reads as many answers.
func (c *memberConn) send(timeout time.Duration, commands ...Command) *incoming {
	arrived, err := c.Conn.Do(timeout, commands...)
	return &incoming{conn: c.Conn, arrived: arrived, err: err}
}

// onlySetUp reports whether all commands change only what the connection holds of a session.
func onlySetUp(commands []Command) bool {
	return !slices.ContainsFunc(commands, func(c Command) bool {
		switch c.(type) {
		case Assign, Reset:
			return false
		}
		return true
	})
}

// incoming are the answers on a connection in the order of their arrival.
type incoming struct {
	conn Conn
	// arrived holds answers that were read together, and err why no more of them were.
	arrived []Reply
	err     error
}

func (in *incoming) next() (Reply, error) {
	if len(in.arrived) > 0 {
		r := in.arrived[0]
		in.arrived = in.arrived[1:]
		return r, nil
	}
	if in.err != nil {
		return Reply{}, in.err
	}
	return in.conn.Receive()
}

// match returns the answers to the commands. ambiguous is true if one of them may belong to another request and no later one
// shows that it does not.
func (c *memberConn) match(in *incoming, commands []Command) (out []Reply, ambiguous bool, err error) {
	for _, command := range commands {
		reply, verdict, err := c.await(in, command)
		if err != nil {
			return out, ambiguous, err
		}
		if reply.Failure == nil && reply.Signature == "" && c.answers.Uncertain() {
			reply.Position = group.Position{} // that of a copy is one of before
		}
		out = append(out, reply)
		c.state = reply.State
		ambiguous = verdict == answer.Ambiguous || ambiguous && reply.Signature == ""
	}
	return out, ambiguous, nil
}

// await returns the answer to the command, after those that certainly belong to other requests.
func (c *memberConn) await(in *incoming, command Command) (Reply, answer.Verdict, error) {
	for {
		reply, err := in.next()
		if err != nil {
			return reply, 0, err
		}
		verdict := c.answers.Judge(c.expect(command), toAnswer(reply))
		switch verdict {
		case answer.Accepted, answer.Ambiguous:
			return reply, verdict, nil
		case answer.Garbled:
			c.reportAnswer(command, verdict.String(), reply)
			return reply, verdict, errors.Wrapf(errUnprovenAnswer, "signature %.64q, %d rows", reply.Signature, len(reply.Rows))
		}
		c.reportAnswer(command, verdict.String(), reply)
	}
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

// Control implements Conn. A status that the connection has carried before may be a copy, so it counts only once the answers to
// further commands show that it has arrived in its turn. These commands may fail: a member that is busy is controlled as well.
func (c *memberConn) Control(timeout time.Duration, o ControlCommand) (Status, error) {
	deadline := time.Now().Add(timeout)
	s, err := c.Conn.Control(timeout, o)
	if err != nil && !isMemberFailure(err) || c.judgeControl(s, err) == answer.Accepted {
		return s, err
	}
	in := c.send(max(time.Until(deadline), time.Millisecond), OpenTransaction{ReadOnly: true}, Abort{})
	for i := range 2 {
		reply, failure := in.next()
		if failure != nil {
			return Status{}, failure
		}
		// A ROLLBACK takes no slot: if it seems to be refused for lack of one, that was the BEGIN, and the command before it as well.
		misplaced := i == 1 && reply.Failure != nil && reply.Failure.Code == Busy
		if misplaced || !answer.FollowsStatus(toAnswer(reply)) {
			c.reportAnswer(Reset{}, "shifted", reply)
			return Status{}, errors.Wrap(errUnprovenAnswer, "a status arrived out of its turn")
		}
		c.answers.Record(toAnswer(reply))
		c.state = reply.State
	}
	if c.state != Idle {
		return Status{}, errors.Wrap(errUnprovenAnswer, "a transaction was not rolled back")
	}
	return s, err
}

// judgeControl returns what a status, or the failure in err, is to the control command that waits.
func (c *memberConn) judgeControl(s Status, err error) answer.Verdict {
	if f := asFailure(err); f != nil {
		return c.answers.Judge(answer.Expectation{}, answer.Answer{Code: f.Code.String(), State: answer.State(c.state)})
	}
	return c.answers.JudgeStatus(fmt.Sprint(s))
}
