package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// stateCaller is a caller that knows what its session was told to hold.
type stateCaller struct {
	name     string
	rand     *rand.Rand
	session  *Session
	values   map[string]string
	prepared map[string]PreparedStatement
	// expected lists what the statements of the caller were to run under. served counts successes.
	expected []statementRun
	served   int
}

// step runs a random statement.
func (c *stateCaller) step() {
	pick := func(options ...string) string { return options[c.rand.IntN(len(options))] }
	switch c.rand.IntN(8) {
	case 0:
		name, value := pick("v", "w"), pick("1", "2", "3")
		if r := c.do(Set{name, value}); r.Failure == nil {
			c.values[name] = value
		}
	case 1:
		name, p := pick("s", "t"), PreparedStatement{Text: c.name + pick(" boards", " suits", " wax")}
		if r := c.do(Prepare{name, p}); r.Failure == nil {
			c.prepared[name] = p
		}
	case 2:
		c.do(Write{})
	case 3, 4:
		if name := pick("s", "t"); c.prepared[name].Text != "" {
			c.do(Execute{Name: name})
		}
	case 5:
		if c.session.State() == Idle {
			c.do(Begin{ReadOnly: c.rand.IntN(2) == 0})
		} else {
			c.do(Commit{})
		}
	default:
		c.do(Read{})
	}
}

func (c *stateCaller) do(st Statement) Reply {
	run := statementRun{id: fmt.Sprint("q", requestSerial.Add(1)), values: maps.Clone(c.values)}
	if e, ok := st.(Execute); ok {
		run.prepared = c.prepared[e.Name]
	}
	c.expected = append(c.expected, run)
	r := c.session.Do(context.Background(), Request{ID: run.id, Statement: st})
	if r.Failure == nil && r.Signature != "" {
		c.served++
	}
	return r
}

// randomRefusals returns a function that refuses commands at random: any command before it runs, or one that prepares the
// connection after it has run. percent is the share that is refused.
func randomRefusals(seed uint64, percent int) func(Command) *Failure {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(c Command) *Failure {
		mu.Lock()
		defer mu.Unlock()
		draw := random.IntN(100)
		switch c.(type) {
		case RunStatement, Abort:
		default:
			if draw >= percent && draw < percent+percent/3 {
				return &Failure{Failed, "refused after it ran"}
			}
		}
		if draw < percent {
			return &Failure{Busy, "refused"}
		}
		return nil
	}
}

func (s *fakeSite) setRefusals(refuses func(Command) *Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
}

func (c *stateCaller) run(n int) {
	for range n {
		c.step()
		time.Sleep(time.Duration(c.rand.IntN(8)) * time.Millisecond)
	}
	c.session.Close()
}

// Guards against statements that run with another session's values, without their own, or as another prepared statement, after a
// member has refused a command that prepares the connection.
func TestStatementsRunUnderTheirSessionsState(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) {
				s.setRefusals(randomRefusals(seed, 12))
				var wait sync.WaitGroup
				callers := make([]*stateCaller, 8)
				for i := range callers {
					callers[i] = &stateCaller{
						name: fmt.Sprint("c", i), rand: rand.New(rand.NewPCG(seed, uint64(i)+2)), session: openSession(t, h),
						values: map[string]string{}, prepared: map[string]PreparedStatement{},
					}
					wait.Go(func() { callers[i].run(120) })
				}
				wait.Wait()
				s.setRefusals(nil)
				wantExpectedState(t, s, callers)
			})
		})
	}
}

// wantExpectedState checks that each statement ran under the state of its session.
func wantExpectedState(t *testing.T, s *fakeSite, callers []*stateCaller) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := map[string]statementRun{}
	for _, c := range callers {
		for _, e := range c.expected {
			expected[e.id] = e
		}
		if c.served < 20 {
			t.Errorf("%s had only %d of its statements served", c.name, c.served)
		}
	}
	for _, ran := range s.ranUnder {
		want, known := expected[ran.id]
		if known && (!maps.Equal(want.values, ran.values) || want.prepared != ran.prepared) {
			t.Errorf("%s ran with values %v and statement %q, want %v and %q", ran.id, ran.values, ran.prepared.Text, want.values, want.prepared.Text)
		}
	}
}

// Guards against ever new connections for the transactions of a session with a value that the member refuses for good.
func TestRefusedValueKeepsConnections(t *testing.T) {
	d := &countingDialer{}
	withHostDialing(t, freshness.Latest{}, func(s *fakeSite) Dialer { d.Dialer = s; return d }, func(s *fakeSite, h *Host) {
		s.setRefusals(func(c Command) *Failure {
			if _, assigns := c.(Assign); assigns {
				return &Failure{Malformed, "no such value"}
			}
			return nil
		})
		exec(h, Write{}) // opens a connection
		before := d.opened.Load()
		for range 5 {
			session := openSession(t, h)
			for _, st := range []Statement{Set{"v", "1"}, Begin{}} {
				execIn(session, st)
			}
			if r := execIn(session, Write{}); r.Failure == nil || r.Failure.Code != Aborted {
				t.Errorf("the write: %+v", r)
			}
			session.Close()
		}
		if n := d.opened.Load() - before; n > 2 {
			t.Errorf("%d connections were opened", n)
		}
	})
}

// countingDialer counts the connections that it opens.
type countingDialer struct {
	Dialer
	opened atomic.Int64
}

func (d *countingDialer) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	d.opened.Add(1)
	return d.Dialer.Dial(ctx, m, account)
}
