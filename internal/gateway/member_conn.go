package gateway

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/answer"
	"pearlatch/core/group"
)

// errUnprovenAnswer means that an answer arrived that can't be told from one to another request. The connection is of no
// further use, and the outcome of the command is unknown.
var errUnprovenAnswer = errors.New("the answer may belong to another request")

// isUnproven reports whether a connection failed for the answers on it, not for a member that is silent or gone.
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
		confirmation = []Command{OpenTransaction{ReadOnly: true}, Abort{}, last} // without waiting for an ambiguous answer
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

// The states in which a member answers a confirmation.
var (
	idleConfirmed        = []answer.State{answer.InTransaction, answer.Idle, answer.Idle}
	transactionConfirmed = []answer.State{answer.InTransaction}
)

// confirm shows that no answer to an earlier command is still to come. The commands for it take no slot of the member.
func (c *memberConn) confirm(deadline time.Time, command Command) error {
	in, states := c.sendConfirmation(deadline)
	return c.readConfirmation(in, command, states)
}

// sendConfirmation sends the commands of a confirmation, and returns the states that they are to be answered in.
func (c *memberConn) sendConfirmation(deadline time.Time) (*incoming, []answer.State) {
	c.confirmations++
	commands, states := []Command{OpenTransaction{ReadOnly: true}, Abort{}}, idleConfirmed
	if c.state != Idle {
		commands, states = nil, transactionConfirmed
	}
	commands = append(commands, Define{Name: "c" + strconv.Itoa(c.confirmations), Prepared: PreparedStatement{Text: "1"}})
	return c.send(max(time.Until(deadline), time.Millisecond), commands...), states
}

// readConfirmation reads the answers to a confirmation.
func (c *memberConn) readConfirmation(in *incoming, command Command, states []answer.State) error {
	for i, state := range states {
		reply, err := in.next()
		for err == nil && reply.Signature != "" && c.answers.Judge(answer.Expectation{}, toAnswer(reply)) == answer.Repeated {
			reply, err = in.next()
		}
		if err != nil {
			return err
		}
		a := toAnswer(reply)
		if !answer.Confirms(a, state, i == len(idleConfirmed)-1) {
			c.reportAnswer(command, "shifted", reply)
			return errors.Wrapf(errUnprovenAnswer, "a confirmation was answered in state %s", reply.State)
		}
		if i == len(idleConfirmed)-1 {
			c.answers.Confirm(a) // within a transaction the states don't differ, so that this answer may be still to come
		} else {
			c.answers.Record(a)
		}
	}
	return nil
}

// resolve finds out whether the failure that answered the last command belongs to it. If the right answer is still to come, it
// replaces the last reply in out.
func (c *memberConn) resolve(deadline time.Time, command Command, out []Reply) error {
	last := &out[len(out)-1]
	if isCommit(command) && last.isBusyInTransaction() {
		return c.resolveCommit(deadline, command, last)
	}
	if last.State != Idle {
		c.reportAnswer(command, "unproven", *last)
		return errors.Wrapf(errUnprovenAnswer, "%v within a transaction", last.Failure)
	}
	in, states := c.sendConfirmation(deadline)
	if late, ok := c.takeLate(in, command); ok {
		c.reportAnswer(command, "late", late)
		*last = late
	}
	if err := c.readConfirmation(in, command, states); err != nil {
		return errors.Wrapf(err, "after %v", last.Failure)
	}
	c.reportAnswer(command, outcomeConfirmed, *last)
	return nil
}

// resolveCommit finds out whether the transaction is open after a refusal of its commit that may be a copy. A commit must not be
// sent again outside a transaction. If the commit took effect, its answer replaces the refusal in last.
func (c *memberConn) resolveCommit(deadline time.Time, commit Command, last *Reply) error {
	in, states := c.sendConfirmation(deadline)
	if late, ok := c.takeLate(in, commit); ok {
		c.reportAnswer(commit, "late", late)
		*last, c.state = late, late.State
		return c.readConfirmation(in, commit, []answer.State{answer.Idle})
	}
	if err := c.readConfirmation(in, commit, states); err != nil {
		return errors.Wrapf(err, "after %v", last.Failure)
	}
	c.reportAnswer(commit, "unproven", *last)
	return &unprovenBusy{last.Failure}
}

// takeLate removes the next answer from in and returns it if it is the success of the command.
func (c *memberConn) takeLate(in *incoming, command Command) (Reply, bool) {
	e := c.expect(command)
	if len(in.arrived) == 0 || !e.Signed || in.arrived[0].Signature == "" {
		return Reply{}, false
	}
	reply := in.arrived[0]
	if c.answers.Judge(e, toAnswer(reply)) != answer.Accepted {
		return Reply{}, false
	}
	in.arrived = in.arrived[1:]
	return reply, true
}

func isCommit(command Command) bool {
	run, ok := command.(RunStatement)
	if !ok {
		return false
	}
	_, ok = run.Request.Statement.(Commit)
	return ok
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
