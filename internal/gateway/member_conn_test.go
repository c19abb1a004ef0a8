package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// scriptedConn is a connection on which the given answers arrive, whatever is sent.
type scriptedConn struct {
	Conn
	arrived []memberAnswer
}

func (c *scriptedConn) take() (memberAnswer, error) {
	if len(c.arrived) == 0 {
		return memberAnswer{}, context.DeadlineExceeded
	}
	a := c.arrived[0]
	c.arrived = c.arrived[1:]
	return a, nil
}

func (c *scriptedConn) Do(_ time.Duration, commands ...Command) ([]Reply, error) {
	var out []Reply
	for range commands {
		r, err := c.Receive()
		if err != nil {
			return out, err
		}
		out = append(out, r)
	}
	return out, nil
}

func (c *scriptedConn) Receive() (Reply, error) {
	a, err := c.take()
	return a.asReply(), err
}

func (c *scriptedConn) Control(time.Duration, ControlCommand) (Status, error) {
	a, err := c.take()
	if err != nil || a.status == nil {
		return Status{}, errors.New("no status")
	}
	return *a.status, nil
}

func newScriptedConn(answers ...memberAnswer) *memberConn {
	return &memberConn{Conn: &scriptedConn{arrived: answers}, report: func(answerEvent) {}}
}

func replyOf(r Reply) memberAnswer { return memberAnswer{reply: r} }

var (
	busyAnswer   = replyOf(Reply{Failure: &Failure{Busy, "full"}})
	openedAnswer = replyOf(Reply{State: InTransaction})
	doneAnswer   = replyOf(Reply{})
	ranAnswer    = replyOf(Reply{Signature: "s2"})
)

// Guards against a write that is answered as refused, and so repeated, although it ran: the refusal is a copy of an earlier one.
func TestRepeatedRefusalIsNotPassedOn(t *testing.T) {
	write := RunStatement{Request: Request{ID: "2", Statement: Write{}}}
	for name, test := range map[string]struct {
		answers []memberAnswer
		want    string // the signature, a code, or "unknown"
	}{
		"the write was refused":       {[]memberAnswer{busyAnswer, openedAnswer, doneAnswer, doneAnswer}, "Busy"},
		"the write ran":               {[]memberAnswer{busyAnswer, ranAnswer, openedAnswer, doneAnswer, doneAnswer}, "s2"},
		"the write failed otherwise":  {[]memberAnswer{busyAnswer, replyOf(Reply{Failure: &Failure{Failed, ""}}), openedAnswer, doneAnswer, doneAnswer}, "unknown"},
		"nothing follows the refusal": {[]memberAnswer{busyAnswer}, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newScriptedConn(append([]memberAnswer{busyAnswer}, test.answers...)...)
			for _, want := range []string{"Busy", test.want} {
				got := "unknown"
				if replies, err := c.Do(time.Second, write); err == nil {
					got = replies[0].Signature
					if f := replies[0].Failure; f != nil {
						got = f.Code.String()
					}
				}
				if got != want {
					t.Errorf("the answer is %q, want %q", got, want)
				}
			}
		})
	}
}

// Guards against a fence that is taken for set, or a primary for confirmed, by the copy of a status of before.
func TestRepeatedStatusIsNotPassedOn(t *testing.T) {
	before, after := &Status{IsPrimary: true, Term: 3}, &Status{Term: 4}
	status := func(s *Status) memberAnswer { return memberAnswer{status: s} }
	for name, test := range map[string]struct {
		answers []memberAnswer
		served  bool
	}{
		"another status":           {[]memberAnswer{status(after)}, true},
		"the same status":          {[]memberAnswer{status(before), openedAnswer, doneAnswer}, true},
		"a copy":                   {[]memberAnswer{status(before), status(after), openedAnswer, doneAnswer}, false},
		"a busy member":            {[]memberAnswer{status(before), busyAnswer, replyOf(Reply{Failure: &Failure{Malformed, "no transaction"}})}, true},
		"a copy, the member busy":  {[]memberAnswer{status(before), busyAnswer, busyAnswer, doneAnswer}, false}, // STATUS and BEGIN are refused
		"a transaction stays open": {[]memberAnswer{status(before), openedAnswer, openedAnswer}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newScriptedConn(append([]memberAnswer{status(before)}, test.answers...)...)
			if _, err := c.Control(time.Second, Probe{}); err != nil {
				t.Fatal(err)
			}
			if s, err := c.Control(time.Second, Probe{}); (err == nil) != test.served {
				t.Errorf("%+v, %v", s, err)
			}
		})
	}
}

// Guards against ever new connections to a member that refuses a session's value for good.
func TestRefusedSettingKeepsConnection(t *testing.T) {
	refused := replyOf(Reply{Failure: &Failure{Failed, "no such value"}})
	c := newScriptedConn(refused, openedAnswer, doneAnswer, refused)
	replies, err := c.Do(time.Second, Assign{"v", "x"})
	if err != nil || replies[0].Failure == nil || c.state != Idle {
		t.Errorf("%v, %v", replies, err)
	}
}

// Guards against a commit that is answered as refused, given up or sent again outside its transaction, while an earlier sending of it
// may have taken effect.
func TestRepeatedRefusalOfCommitIsUnproven(t *testing.T) {
	busy := replyOf(Reply{Failure: &Failure{Busy, "full"}, State: InTransaction})
	commit := RunStatement{Request: Request{ID: "1", Statement: Commit{}}}
	for name, test := range map[string]struct {
		answers []memberAnswer // to the second sending
		want    string         // "again", the signature, or "unknown"
	}{
		"refused":                     {[]memberAnswer{busy, openedAnswer}, "again"},
		"took effect":                 {[]memberAnswer{busy, ranAnswer, doneAnswer}, "s2"},
		"answered otherwise":          {[]memberAnswer{busy, replyOf(Reply{Failure: &Failure{Failed, ""}, State: InFailedTransaction})}, "unknown"},
		"no longer in a transaction":  {[]memberAnswer{busy, doneAnswer}, "unknown"},
		"nothing follows the refusal": {[]memberAnswer{busy}, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newScriptedConn(append([]memberAnswer{openedAnswer, busy}, test.answers...)...)
			if _, err := c.Do(time.Second, OpenTransaction{}); err != nil {
				t.Fatal(err)
			}
			if replies, err := c.Do(time.Second, commit); err != nil || replies[0].Failure == nil {
				t.Fatalf("the first refusal: %v, %v", replies, err)
			}
			var unproven *unprovenBusy
			replies, err := c.Do(time.Second, commit)
			got := "unknown"
			switch {
			case errors.As(err, &unproven) && isUnproven(err):
				got = "again"
			case err == nil:
				got = replies[0].Signature
			}
			if got != test.want {
				t.Errorf("%q (%v), want %q", got, err, test.want)
			}
		})
	}
}

// begunAt is the answer to a BEGIN at a member whose log ends at the given number.
func begunAt(n group.LSN) memberAnswer {
	return replyOf(Reply{State: InTransaction, Position: group.Position{Term: 1, LSN: n}})
}

// Guards against a position of before that counts as the end of the primary's log: the answer to the BEGIN is a copy.
func TestRepeatedBeginGivesNoPosition(t *testing.T) {
	c := newScriptedConn(begunAt(5), doneAnswer, begunAt(5), begunAt(9), begunAt(9))
	for i, want := range []group.LSN{5, 0, 0} {
		replies, err := c.Do(time.Second, []Command{OpenTransaction{}, Abort{}, OpenTransaction{}}[i])
		if err != nil || replies[0].Position.LSN != want {
			t.Errorf("answer %d: %+v, %v, want the position %d", i, replies, err, want)
		}
	}
}

// Guards against statements that run outside their transaction: its BEGIN was refused, and an answer that was skipped before as
// another command's came once more.
func TestSkippedAnswerIsKnown(t *testing.T) {
	signed := func(signature string, s State) memberAnswer { return replyOf(Reply{Signature: signature, State: s}) }
	c := newScriptedConn(begunAt(5), doneAnswer,
		begunAt(5), begunAt(6), begunAt(7), signed("s1", InTransaction), signed("s2", Idle), // a copy shifts the answers up to that with 7
		begunAt(7), busyAnswer, signed("s3", Idle))
	write, commit := RunStatement{Request: Request{ID: "1", Statement: Write{}}}, RunStatement{Request: Request{ID: "2", Statement: Commit{}}}
	for _, command := range []Command{OpenTransaction{}, Abort{}, OpenTransaction{}, write, commit} {
		if replies, err := c.Do(time.Second, command); err != nil || replies[0].Failure != nil {
			t.Fatalf("%T: %+v, %v", command, replies, err)
		}
	}
	if replies, err := c.Do(time.Second, OpenTransaction{}); err == nil && replies[0].Failure == nil {
		t.Errorf("the BEGIN that was refused is answered with %+v", replies[0])
	}
}

// Guards against a member that falls silent, or is gone, without being suspected: its connection fails within a confirmation.
func TestSilenceInConfirmationIsNoUnprovenAnswer(t *testing.T) {
	c := newScriptedConn(busyAnswer, busyAnswer, openedAnswer)
	write := RunStatement{Request: Request{ID: "1", Statement: Write{}}}
	if _, err := c.Do(time.Second, write); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Do(time.Second, write); !errors.Is(err, context.DeadlineExceeded) || isUnproven(err) {
		t.Errorf("%v, want the error of the connection", err)
	}
}

// slowConn takes most of a second for a status and keeps the time that it has for the confirmation.
type slowConn struct {
	Conn
	left time.Duration
}

func (c *slowConn) Control(time.Duration, ControlCommand) (Status, error) {
	time.Sleep(800 * time.Millisecond)
	return Status{Term: 3}, nil
}

func (c *slowConn) Do(timeout time.Duration, _ ...Command) ([]Reply, error) {
	c.left = timeout
	return []Reply{openedAnswer.reply, doneAnswer.reply}, nil
}

// Guards against a control command that takes twice its timeout.
func TestStatusIsConfirmedWithinTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowConn{}
		c := &memberConn{Conn: slow, report: func(answerEvent) {}}
		for range 2 {
			if _, err := c.Control(time.Second, Probe{}); err != nil {
				t.Fatal(err)
			}
		}
		if slow.left != 200*time.Millisecond {
			t.Errorf("the confirmation has %s left", slow.left)
		}
	})
}
