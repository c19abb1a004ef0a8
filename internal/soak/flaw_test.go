package soak

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/internal/gateway"
)

// flawVariable names the fault that is put into a host.
const flawVariable = "PEARLATCH_TEST_FLAW"

// flaws put a fault into a host's ways to the outside, by name.
var flaws = map[string]func(*gateway.Ports){
	"positions are not asked for":  flawedConns(func(c gateway.Conn) gateway.Conn { return noPositionConn{c} }),
	"writes are sent twice":        flawedConns(func(c gateway.Conn) gateway.Conn { return doubleWriteConn{c} }),
	"lost answers are refusals":    flawedConns(func(c gateway.Conn) gateway.Conn { return falseRefusalConn{c} }),
	"values are changed":           flawedConns(func(c gateway.Conn) gateway.Conn { return changedValueConn{c} }),
	"requests are renamed":         flawedConns(func(c gateway.Conn) gateway.Conn { return renamedRequestConn{c} }),
	"callers share connections":    shareConns,
	"another member is promoted":   func(p *gateway.Ports) { p.Promoter = wrongPromoter{p.Promoter, p.Store} },
	"configurations go back":       func(p *gateway.Ports) { p.Decode = &staleConfigDecoder{Decoder: p.Decode} },
	"an order to stop is an order": func(*gateway.Ports) { go exitOn(syscall.SIGTERM) },
	"the process ends":             func(*gateway.Ports) { time.AfterFunc(4*time.Second, func() { os.Exit(3) }) },
	"descriptors are kept":         flawedConns(func(c gateway.Conn) gateway.Conn { return leakingConn{c} }),
	"members are given up":         func(p *gateway.Ports) { p.Dialer = &failingDialer{Dialer: p.Dialer} },
	"epochs are not told":          func(p *gateway.Ports) { p.Store = epochlessStore{p.Store} },
}

// Each check is shown to work: a host with a fault is found out, under the name of the promise that the
// fault breaks.
func TestFlawsAreFound(t *testing.T) {
	lag := Fault{Kind: LagMember, For: 3 * time.Second}
	for _, c := range []struct {
		flaw, finding string
		faults        []Fault
		// work is how long a statement takes, or zero for the usual time.
		work time.Duration
	}{
		{"positions are not asked for", "STALE", []Fault{lag, {Kind: LagMember, For: 3 * time.Second, Seed: 2}, {Kind: LagMember, For: 3 * time.Second, Seed: 3}}, 0},
		{"writes are sent twice", "TWICE", nil, 0},
		{"lost answers are refusals", "REFUSED", []Fault{{Kind: LoseAnswers, For: 3 * time.Second, Seed: 1}, {Kind: LoseAnswers, For: 3 * time.Second, Seed: 5}}, 0},
		{"values are changed", "MIXED", nil, 0},
		{"requests are renamed", "UNASKED", nil, 0},
		{"callers share connections", "PINNED", nil, 0},
		{"another member is promoted", "LOST", []Fault{{Kind: DeafenMember, For: 7 * time.Second, Seed: deafReplicaSeed}, {Kind: CrashMember, At: time.Second, For: 5 * time.Second, Seed: crashedPrimarySeed}}, 0},
		{"configurations go back", "CONFIG", []Fault{{Kind: Configure, Seed: oddChangesSeed}}, 0},
		{"an order to stop is an order", "LOST", []Fault{{Kind: StopHostsInTurn, For: time.Second}, {Kind: StopHost, At: time.Second}}, longStatementTime},
		{"the process ends", "EXIT", []Fault{{Kind: Configure, For: 3 * time.Second}}, 0},
		{"descriptors are kept", "LEAK", []Fault{{Kind: ResetHost, For: time.Second}}, 0},
		{"members are given up", "RECOVER", []Fault{{Kind: CrashMember, For: time.Second}}, 0},
		{"epochs are not told", "CONFIG", []Fault{
			{Kind: StoreRestored, For: 2 * time.Second}, {Kind: Configure, At: 500 * time.Millisecond, Seed: manyChangesSeed},
			{Kind: Configure, At: time.Second, Seed: manyChangesSeed}, {Kind: Configure, At: 5500 * time.Millisecond, Seed: oddChangesSeed},
		}, 0},
	} {
		t.Run(c.flaw, func(t *testing.T) {
			t.Parallel()
			found := playFlaw(t, c.flaw, c.faults, c.work)
			for _, f := range found {
				if strings.HasPrefix(f, c.finding) {
					return
				}
			}
			t.Errorf("%s is not among %d findings", c.finding, len(found))
			for _, f := range found[:min(len(found), 3)] {
				t.Log(f)
			}
		})
	}
}

// Seeds that settle which member a fault meets, and how often a configuration changes.
const (
	deafReplicaSeed    = 7
	crashedPrimarySeed = 2
	oddChangesSeed     = 1
	manyChangesSeed    = 3
)

// longStatementTime is a statement's time with which callers have requests under way whenever a host stops: their
// pauses are half as long.
const longStatementTime = 60 * time.Millisecond

// playFlaw plays faults on a small site whose hosts have a flaw, and returns what was found.
func playFlaw(t *testing.T, flaw string, faults []Fault, work time.Duration) []string {
	t.Helper()
	o := DefaultOptions()
	o.Site.Hosts, o.Site.Groups, o.Recovery = 3, 1, 5*time.Second
	if work > 0 {
		o.Site.Work = work
	}
	o.Program, o.Folder = []string{os.Args[0]}, t.TempDir()
	o.Environment = []string{flawVariable + "=" + flaw}
	r, err := Run(context.Background(), o, 1, faults)
	if err != nil {
		return []string{fmt.Sprintf("RECOVER: %v", err)} // it did not even come to serve
	}
	return r.Findings
}

// flawedConns changes the connections to members.
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

// mapStatements changes the statements of callers among commands.
func mapStatements(commands []gateway.Command, change func(*gateway.RunStatement)) []gateway.Command {
	out := make([]gateway.Command, len(commands))
	for i, c := range commands {
		if f, ok := c.(gateway.RunStatement); ok {
			change(&f)
			c = f
		}
		out[i] = c
	}
	return out
}

// noPositionConn asks for no position.
type noPositionConn struct{ gateway.Conn }

func (c noPositionConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	return c.Conn.Do(timeout, mapStatements(commands, func(f *gateway.RunStatement) { f.After = group.Position{} })...)
}

// doubleWriteConn sends single writes twice.
type doubleWriteConn struct{ gateway.Conn }

func (c doubleWriteConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	last, ok := commands[len(commands)-1].(gateway.RunStatement)
	if _, writes := last.Request.Statement.(gateway.Write); ok && writes {
		commands = append(commands, last)
	}
	return c.Conn.Do(timeout, commands...)
}

// falseRefusalConn takes a lost answer for a refusal.
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

// changedValueConn lays other values on the connection than the session's.
type changedValueConn struct{ gateway.Conn }

func (c changedValueConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	for i, each := range commands {
		if a, ok := each.(gateway.Assign); ok {
			a.Value += "x"
			commands[i] = a
		}
	}
	return c.Conn.Do(timeout, commands...)
}

// renamedRequestConn sends requests under identifiers of its own.
type renamedRequestConn struct{ gateway.Conn }

func (c renamedRequestConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	return c.Conn.Do(timeout, mapStatements(commands, func(f *gateway.RunStatement) { f.Request.ID += "x" })...)
}

// shareConns gives the same connection to a member out twice.
func shareConns(p *gateway.Ports) {
	p.Dialer = &sharingDialer{Dialer: p.Dialer, spare: map[string]*sharedConn{}}
}

type sharingDialer struct {
	gateway.Dialer
	mu    sync.Mutex
	spare map[string]*sharedConn
}

type sharedConn struct {
	gateway.Conn
	mu sync.Mutex
	// failed is true once an answer did not come: a connection that is dead for ever keeps the host from
	// serving at all, and hides what sharing breaks.
	failed atomic.Bool
}

func (d *sharingDialer) Dial(ctx context.Context, m gateway.Member, account string) (gateway.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.spare[m.ID]; c != nil && !c.failed.Load() {
		return c, nil
	}
	c, err := d.Dialer.Dial(ctx, m, account)
	if err != nil {
		return nil, err
	}
	d.spare[m.ID] = &sharedConn{Conn: c}
	return d.spare[m.ID], nil
}

func (c *sharedConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replies, err := c.Conn.Do(timeout, commands...)
	if err != nil {
		c.failed.Store(true)
	}
	return replies, err
}

func (c *sharedConn) Control(timeout time.Duration, o gateway.ControlCommand) (gateway.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.Conn.Control(timeout, o)
	if err != nil {
		c.failed.Store(true)
	}
	return s, err
}

// Close keeps the connection: others use it.
func (c *sharedConn) Close() error { return nil }

// wrongPromoter promotes another replica than the one chosen.
type wrongPromoter struct {
	gateway.Promoter
	store gateway.Store
}

func (p wrongPromoter) Promote(ctx context.Context, holder string, token int64, groupName, member string) error {
	list, err := p.store.List(ctx, kv.Range{Prefix: "servers/"})
	if err != nil {
		return err
	}
	for _, i := range list.Items {
		id := strings.TrimPrefix(i.Key, "servers/")
		if id != member && strings.Contains(string(i.Value), "replica") {
			return p.Promoter.Promote(ctx, holder, token, groupName, id)
		}
	}
	return p.Promoter.Promote(ctx, holder, token, groupName, member)
}

// staleConfigDecoder takes the first configuration for every second one.
type staleConfigDecoder struct {
	gateway.Decoder
	n     int
	first *gateway.Config
}

func (d *staleConfigDecoder) Config(value []byte) (*gateway.Config, error) {
	c, err := d.Decoder.Config(value)
	if err != nil {
		return nil, err
	}
	if d.n++; d.first == nil {
		d.first = c
	}
	if d.n%2 == 0 {
		old := *d.first
		old.Version = c.Version
		return &old, nil
	}
	return c, nil
}

func exitOn(s os.Signal) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	<-c
	os.Exit(0)
}

// leakingConn keeps a descriptor for each statement.
type leakingConn struct{ gateway.Conn }

func (c leakingConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	f, err := os.Open(os.DevNull)
	if err == nil {
		leakedFiles.Store(f, true)
	}
	return c.Conn.Do(timeout, commands...)
}

var leakedFiles sync.Map

// epochlessStore takes a store that came back from an older copy for one that never did.
type epochlessStore struct{ gateway.Store }

func inFirstEpoch(s kv.Snapshot) kv.Snapshot {
	s.Revision = kv.NewRevision(0, s.Revision.Number())
	for i := range s.Items {
		s.Items[i].Revision = kv.NewRevision(0, s.Items[i].Revision.Number())
	}
	return s
}

func (s epochlessStore) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	out, err := s.Store.List(ctx, r)
	out.Snapshot = inFirstEpoch(out.Snapshot)
	return out, err
}

func (s epochlessStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Snapshot, error) {
	out, err := s.Store.Watch(ctx, prefix, after, wait)
	return inFirstEpoch(out), err
}

func (s epochlessStore) Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	out, err := s.Store.Commit(ctx, t)
	return kv.NewRevision(0, out.Number()), err
}

func (s epochlessStore) Renew(ctx context.Context, lease int64) (kv.Epoch, error) {
	_, err := s.Store.Renew(ctx, lease)
	return 0, err
}

// failingDialer reaches nobody any more once a member could not be reached.
type failingDialer struct {
	gateway.Dialer
	mu  sync.Mutex
	err error
}

func (d *failingDialer) Dial(ctx context.Context, m gateway.Member, account string) (gateway.Conn, error) {
	d.mu.Lock()
	given := d.err
	d.mu.Unlock()
	if given != nil {
		return nil, given
	}
	c, err := d.Dialer.Dial(ctx, m, account)
	if err != nil {
		d.mu.Lock()
		d.err = err
		d.mu.Unlock()
		return nil, err
	}
	return failingConn{c, d}, nil
}

type failingConn struct {
	gateway.Conn
	dialer *failingDialer
}

func (c failingConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	c.dialer.mu.Lock()
	given := c.dialer.err
	c.dialer.mu.Unlock()
	if given != nil {
		return nil, given
	}
	return c.Conn.Do(timeout, commands...)
}
