package gateway

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/answer"
)

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
