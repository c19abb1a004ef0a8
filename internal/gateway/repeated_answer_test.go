package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

// repeatingDialer opens connections to members that send some answers again at any later time.
type repeatingDialer struct {
	Dialer
	seed   uint64
	mu     sync.Mutex
	opened uint64
	copies int
}

// repeatedShare is the share of answers before which an earlier one is sent again.
const repeatedShare = 0.08

func (d *repeatingDialer) to(s *fakeSite) Dialer {
	d.Dialer = s
	return d
}

func (d *repeatingDialer) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	c, err := d.Dialer.Dial(ctx, m, account)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened++
	return &repeatingConn{Conn: c, dialer: d, random: rand.New(rand.NewPCG(d.seed, d.opened))}, nil
}

// memberAnswer is an answer to a command or, if status is set, to a control command.
type memberAnswer struct {
	reply  Reply
	status *Status
}

// repeatingConn is a connection to a member that sends some answers again.
type repeatingConn struct {
	Conn
	dialer *repeatingDialer
	random *rand.Rand
	// earlier holds the answers sent, and arrived those that were not read yet.
	earlier, arrived []memberAnswer
}

// send adds an answer to those that arrived, after a copy of an earlier one in some cases.
func (c *repeatingConn) send(a memberAnswer) {
	if n := len(c.earlier); n > 0 && c.random.Float64() < repeatedShare {
		c.arrived = append(c.arrived, c.earlier[c.random.IntN(n)])
		c.dialer.mu.Lock()
		c.dialer.copies++
		c.dialer.mu.Unlock()
	}
	c.earlier, c.arrived = append(c.earlier, a), append(c.arrived, a)
}

func (c *repeatingConn) take() (memberAnswer, bool) {
	if len(c.arrived) == 0 {
		return memberAnswer{}, false
	}
	a := c.arrived[0]
	c.arrived = c.arrived[1:]
	return a, true
}

func (c *repeatingConn) Do(timeout time.Duration, commands ...Command) ([]Reply, error) {
	var out []Reply
	replies, err := c.Conn.Do(timeout, commands...)
	for _, r := range replies {
		c.send(memberAnswer{reply: r})
	}
	for range commands {
		a, ok := c.take()
		if !ok {
			return out, err
		}
		out = append(out, a.asReply())
	}
	return out, nil
}

func (a memberAnswer) asReply() Reply {
	if a.status == nil {
		return a.reply
	}
	return Reply{Rows: []string{fmt.Sprint(*a.status)}}
}

func (c *repeatingConn) Receive() (Reply, error) {
	a, ok := c.take()
	if !ok {
		return Reply{}, context.DeadlineExceeded
	}
	return a.asReply(), nil
}

func (c *repeatingConn) Control(timeout time.Duration, o ControlCommand) (Status, error) {
	s, err := c.Conn.Control(timeout, o)
	switch f := asFailure(err); {
	case f != nil:
		c.send(memberAnswer{reply: Reply{Failure: f}})
	case err != nil:
		return s, err
	default:
		c.send(memberAnswer{status: &s})
	}
	a, _ := c.take()
	switch {
	case a.status != nil:
		return *a.status, nil
	case a.reply.Failure != nil:
		return Status{}, a.reply.Failure
	}
	return Status{}, errors.New("a status has one row")
}

func (c *repeatingConn) Alive() bool { return len(c.arrived) == 0 && c.Conn.Alive() }

// answeredStatement is what a caller was told of a statement.
type answeredStatement struct {
	run       statementRun
	statement Statement
	reply     Reply
}

// do runs a statement and keeps the reply.
func (c *repeatCaller) do(st Statement) {
	run := statementRun{id: fmt.Sprint("q", requestSerial.Add(1)), values: maps.Clone(c.values), inTransaction: c.session.State() == InTransaction}
	if e, ok := st.(Execute); ok {
		run.prepared = c.prepared[e.Name]
	}
	r := c.session.Do(context.Background(), Request{ID: run.id, Statement: st})
	if set, ok := st.(Set); ok && r.Failure == nil {
		c.values[set.Name] = set.Value
	}
	if p, ok := st.(Prepare); ok && r.Failure == nil {
		c.prepared[p.Name] = p.Prepared
	}
	c.answered = append(c.answered, answeredStatement{run, st, r})
}

// repeatCaller is a caller that keeps what it was told.
type repeatCaller struct {
	random   *rand.Rand
	session  *Session
	values   map[string]string
	prepared map[string]PreparedStatement
	answered []answeredStatement
}

func (c *repeatCaller) run(n int) {
	for range n {
		c.step()
		time.Sleep(time.Duration(c.random.IntN(8)) * time.Millisecond)
	}
	c.session.Close()
}

func (c *repeatCaller) step() {
	switch c.random.IntN(8) {
	case 0:
		c.do(Set{"v", fmt.Sprint(c.random.IntN(3))})
	case 1:
		c.do(Prepare{"s", PreparedStatement{Text: fmt.Sprint("shape ", c.random.IntN(3))}})
	case 2, 3:
		c.do(Write{})
	case 4:
		if c.prepared["s"].Text != "" {
			c.do(Execute{Name: "s"})
		}
	case 5:
		if c.session.State() == Idle {
			c.do(Begin{ReadOnly: c.random.IntN(3) == 0})
		} else {
			c.do(Commit{})
		}
	default:
		c.do(Read{})
	}
}

// Guards against answers of other requests, writes that take effect twice or after a refusal, and statements that run in the wrong
// session, with members that send their answers again at any later time.
func TestAnswersThatComeTwiceAreNotPassedOn(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			d := &repeatingDialer{seed: seed}
			withHostDialing(t, freshness.MaxAge{Age: time.Second}, d.to, func(s *fakeSite, h *Host) {
				s.setRefusals(randomRefusals(seed, 3))
				var wait sync.WaitGroup
				callers := make([]*repeatCaller, 8)
				for i := range callers {
					callers[i] = &repeatCaller{
						random: rand.New(rand.NewPCG(seed, uint64(i)+2)), session: openSession(t, h),
						values: map[string]string{}, prepared: map[string]PreparedStatement{},
					}
					wait.Go(func() { callers[i].run(120) })
				}
				wait.Wait()
				s.setRefusals(nil)
				wantOwnAnswers(t, s, callers)
				if d.copies < 20 {
					t.Errorf("the members sent only %d answers again", d.copies)
				}
			})
		})
	}
}

// wantOwnAnswers checks the callers' replies against what ran on the members.
func wantOwnAnswers(t *testing.T, s *fakeSite, callers []*repeatCaller) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := map[string][]statementRun{}
	for _, r := range s.ranUnder {
		ran[r.id] = append(ran[r.id], r)
	}
	for _, c := range callers {
		served := 0
		for _, a := range c.answered {
			if checkAnswer(t, a, ran[a.run.id]) {
				served++
			}
		}
		if served < 20 {
			t.Errorf("a caller had only %d of its statements served", served)
		}
	}
}

// checkAnswer checks what a caller was told of a statement against its runs, and reports whether it was served by a member.
func checkAnswer(t *testing.T, a answeredStatement, runs []statementRun) (served bool) {
	t.Helper()
	for _, r := range runs {
		if !maps.Equal(a.run.values, r.values) || a.run.prepared != r.prepared || a.run.inTransaction != r.inTransaction {
			t.Errorf("PINNED: %T %s ran with %+v, want %+v", a.statement, a.run.id, r, a.run)
		}
	}
	if _, writes := a.statement.(Write); writes && !a.run.inTransaction {
		if len(runs) > 1 {
			t.Errorf("TWICE: write %s ran %d times", a.run.id, len(runs))
		}
		if f := a.reply.Failure; f != nil && f.Code.NotRun() && len(runs) > 0 {
			t.Errorf("REFUSED: write %s ran and was answered %v", a.run.id, f)
		}
	}
	if _, commits := a.statement.(Commit); commits {
		checkCommit(t, a, runs)
	}
	signed := false
	switch a.statement.(type) {
	case Read, Write, Execute, Commit:
		signed = a.reply.Failure == nil
	}
	if signed && !strings.HasSuffix(a.reply.Signature, " "+a.run.id) {
		t.Errorf("MIXED: %T %s was answered with the signature %q", a.statement, a.run.id, a.reply.Signature)
	}
	return signed
}

// checkCommit checks what a caller was told of a commit. If the transaction wrote nothing, a promise is kept in any case.
func checkCommit(t *testing.T, a answeredStatement, runs []statementRun) {
	t.Helper()
	if len(runs) > 1 {
		t.Errorf("TWICE: commit %s ran %d times", a.run.id, len(runs))
	}
	f := a.reply.Failure
	promised := f != nil && (f.Code == Aborted || f.Code.NotRun()) && !strings.Contains(f.Detail, "nothing was written")
	if promised && len(runs) > 0 {
		t.Errorf("REFUSED: commit %s ran and was answered %v", a.run.id, f)
	}
}

// busyCommitConn answers the first two commits with the same refusal. The second one takes effect, and its own answer arrives for
// the third.
type busyCommitConn struct {
	Conn
	commits *int
	// meanwhile runs after the second commit has taken effect.
	meanwhile func()
	late      []Reply
}

func (c *busyCommitConn) Do(timeout time.Duration, commands ...Command) ([]Reply, error) {
	if !isCommit(commands[len(commands)-1]) {
		replies, err := c.Conn.Do(timeout, commands...)
		if _, defines := commands[0].(Define); defines && *c.commits == 2 {
			replies[0].State = InTransaction // a copy, too
		}
		return replies, err
	}
	*c.commits++
	switch *c.commits {
	case 2:
		late, err := c.Conn.Do(timeout, commands...)
		if err != nil {
			return nil, err
		}
		c.late = late
		c.meanwhile()
	case 3:
		return c.late, nil
	}
	return []Reply{{Failure: &Failure{Busy, "full"}, State: InTransaction}}, nil
}

type busyCommitDialer struct {
	Dialer
	conn busyCommitConn
}

func (d *busyCommitDialer) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	c := d.conn
	var err error
	c.Conn, err = d.Dialer.Dial(ctx, m, account)
	return &c, err
}

// Guards against a position of before that counts as the end of the primary's log: it comes with the answer to an earlier commit.
func TestRepeatedCommitGivesNoPosition(t *testing.T) {
	d := &busyCommitDialer{conn: busyCommitConn{commits: new(int)}}
	var host *Host
	var written group.Position
	d.conn.meanwhile = func() {
		if r := exec(host, Write{}); r.Failure != nil {
			t.Errorf("the write: %v", r.Failure)
		}
		written, _ = host.group(testGroup).newestSample()
	}
	withHostDialing(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite) Dialer { d.Dialer = s; return d }, func(_ *fakeSite, h *Host) {
		host = h
		session := openSession(t, h)
		for _, st := range []Statement{Begin{}, Write{}, Commit{}} {
			if r := execIn(session, st); r.Failure != nil {
				t.Fatalf("%T: %v", st, r.Failure)
			}
		}
		if newest, _ := h.group(testGroup).newestSample(); newest.Compare(written) < 0 || *d.conn.commits != 3 {
			t.Errorf("the primary is taken to be at %v after %d commits, was at %v before", newest, *d.conn.commits, written)
		}
	})
}
