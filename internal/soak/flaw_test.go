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

	"pearlatch/core/kv"
	"pearlatch/internal/gateway"
)

// flawVariable is the environment variable with the name of the flaw that a host runs with.
const flawVariable = "PEARLATCH_TEST_FLAW"

// flaws holds functions that add a flaw to a host by changing its ports, by name.
var flaws = map[string]func(*gateway.Ports){
	"positions are not asked for":           flawedConns(func(c gateway.Conn) gateway.Conn { return noPositionConn{c} }),
	"writes are sent twice":                 flawedConns(func(c gateway.Conn) gateway.Conn { return doubleWriteConn{c} }),
	"lost answers are refusals":             flawedConns(func(c gateway.Conn) gateway.Conn { return falseRefusalConn{c} }),
	"values are changed":                    flawedConns(func(c gateway.Conn) gateway.Conn { return changedValueConn{c} }),
	"requests are renamed":                  flawedConns(func(c gateway.Conn) gateway.Conn { return renamedRequestConn{c} }),
	"repeated answers are taken":            flawedConns(func(c gateway.Conn) gateway.Conn { return &gullibleConn{Conn: c} }),
	"texts are cut at line feeds":           flawedConns(func(c gateway.Conn) gateway.Conn { return cutTextConn{c} }),
	"callers share connections":             shareConns,
	"another member is promoted":            func(p *gateway.Ports) { p.Promoter = wrongPromoter{p.Promoter, p.Store} },
	"older configurations are used":         func(p *gateway.Ports) { p.Decode = &staleConfigDecoder{Decoder: p.Decode} },
	"SIGTERM ends the process at once":      func(*gateway.Ports) { go exitOn(syscall.SIGTERM) },
	"the process ends":                      func(*gateway.Ports) { time.AfterFunc(4*time.Second, func() { os.Exit(3) }) },
	"descriptors are leaked":                flawedConns(func(c gateway.Conn) gateway.Conn { return leakingConn{c} }),
	"failed members are never dialed again": func(p *gateway.Ports) { p.Dialer = &failingDialer{Dialer: p.Dialer} },
	"store epochs are hidden":               func(p *gateway.Ports) { p.Store = epochlessStore{p.Store} },
	"the process panics while it drains":    func(*gateway.Ports) { go onTermination(func() { panic("flaw") }) },
	"nil is dereferenced at SIGTERM":        func(*gateway.Ports) { go onTermination(func() { (*gateway.Ports)(nil).Metrics = nil }) },
	"the process is killed while it drains": func(*gateway.Ports) { go onTermination(func() { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) }) },
	"the process fails while it drains":     func(*gateway.Ports) { go onTermination(func() { os.Exit(3) }) },
}

// Guards against checks that pass whatever hosts do: for each check, a host that violates the guarantee must lead to
// a finding with the name of that guarantee.
func TestFlawsAreFound(t *testing.T) {
	lag := func(seed uint64) Fault { return Fault{Kind: LagMember, For: 3 * time.Second, Seed: seed} }
	stopHost := []Fault{{Kind: StopHost, For: 2 * time.Second}}
	for _, c := range []struct {
		flaw, finding string
		faults        []Fault
		// work is how long a statement takes; zero stands for the default.
		work time.Duration
	}{
		{"positions are not asked for", "STALE", []Fault{lag(laggingReplicaSeed), lag(otherLaggingReplicaSeed)}, 0},
		{"writes are sent twice", "TWICE", nil, 0},
		{"lost answers are refusals", "REFUSED", []Fault{{Kind: LoseAnswers, For: 3 * time.Second, Seed: 1}, {Kind: LoseAnswers, For: 3 * time.Second, Seed: 5}}, 0},
		{"values are changed", "MIXED", nil, 0},
		{"requests are renamed", "UNASKED", nil, 0},
		{"repeated answers are taken", "MIXED", []Fault{{Kind: RepeatAnswers, For: 4 * time.Second, Seed: 4}}, 0},
		{"texts are cut at line feeds", "UNASKED", nil, 0},
		{"callers share connections", "PINNED", nil, 0},
		{"another member is promoted", "LOST", []Fault{{Kind: DeafenMember, For: 7 * time.Second, Seed: deafReplicaSeed}, {Kind: CrashMember, At: time.Second, For: 5 * time.Second, Seed: crashedPrimarySeed}}, 0},
		{"older configurations are used", "CONFIG", []Fault{{Kind: Configure, Seed: oddChangesSeed}}, 0},
		{"SIGTERM ends the process at once", "LOST", []Fault{{Kind: StopHostsInTurn, For: time.Second}, {Kind: StopHost, At: time.Second}}, longStatementTime},
		{"the process ends", "EXIT", []Fault{{Kind: Configure, For: 3 * time.Second}}, 0},
		{"descriptors are leaked", "LEAK", []Fault{{Kind: ResetHost, For: time.Second}}, 0},
		{"failed members are never dialed again", "RECOVER", []Fault{{Kind: CrashMember, For: time.Second}}, 0},
		{"store epochs are hidden", "CONFIG", []Fault{
			{Kind: StoreRestored, For: 2 * time.Second}, {Kind: Configure, At: 500 * time.Millisecond, Seed: manyChangesSeed},
			{Kind: Configure, At: time.Second, Seed: manyChangesSeed}, {Kind: Configure, At: 5500 * time.Millisecond, Seed: oddChangesSeed},
		}, 0},
		{"the process panics while it drains", "CRASH", stopHost, 0},
		{"nil is dereferenced at SIGTERM", "CRASH", stopHost, 0},
		{"the process is killed while it drains", "CRASH", stopHost, 0},
		{"the process fails while it drains", "EXIT", stopHost, 0},
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

// Seeds of faults, which determine the affected member or how often the configuration changes.
const (
	deafReplicaSeed    = 7
	crashedPrimarySeed = 2
	oddChangesSeed     = 1
	manyChangesSeed    = 3
	// Lag of the primary has no effect, so both replicas lag: by 6 s and by 8 s.
	laggingReplicaSeed      = 11
	otherLaggingReplicaSeed = 29
)

// longStatementTime is so long that callers have requests in progress whenever a host shuts down: their delay between
// operations is half as long.
const longStatementTime = 60 * time.Millisecond

// playFlaw runs a soak with the faults on a small site whose hosts have a flaw, and returns the findings.
func playFlaw(t *testing.T, flaw string, faults []Fault, work time.Duration) []string {
	t.Helper()
	o := testOptions(t)
	o.Site.Hosts, o.Site.Groups, o.Recovery = 3, 1, 5*time.Second
	if work > 0 {
		o.Site.Work = work
	}
	o.Environment = []string{flawVariable + "=" + flaw}
	r, err := Run(context.Background(), o, 1, faults)
	if err != nil {
		return []string{fmt.Sprintf("RECOVER: %v", err)} // the flaw kept the hosts from serving at the start
	}
	return r.Findings
}

// shareConns makes a host use one connection to a member for several callers at a time.
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
	// failed is true once a call has failed; the dialer then opens a new connection. To keep a dead connection
	// would prevent the host from serving at all, and hide the violations that sharing causes.
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

// Close does nothing, since other callers use the connection.
func (c *sharedConn) Close() error { return nil }

// wrongPromoter promotes another replica than the chosen one, if there is one.
type wrongPromoter struct {
	gateway.Promoter
	store gateway.Store
}

func (p wrongPromoter) Promote(ctx context.Context, holder string, token int64, groupName, member string) error {
	page, err := p.store.List(ctx, kv.Range{Prefix: "servers/"})
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		id := strings.TrimPrefix(item.Key, "servers/")
		if id != member && strings.Contains(string(item.Value), "replica") {
			return p.Promoter.Promote(ctx, holder, token, groupName, id)
		}
	}
	return p.Promoter.Promote(ctx, holder, token, groupName, member)
}

// staleConfigDecoder returns the first configuration in place of every second one, with the new version.
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

// exitOn waits for a signal and ends the process at once.
func exitOn(s os.Signal) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, s)
	<-received
	os.Exit(0)
}

// onTermination calls f shortly after the process has received SIGTERM, while it drains.
func onTermination(f func()) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM)
	<-received
	time.Sleep(100 * time.Millisecond)
	f()
}

// leakingConn leaks a file descriptor for each statement.
type leakingConn struct{ gateway.Conn }

func (c leakingConn) Do(timeout time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	f, err := os.Open(os.DevNull)
	if err == nil {
		leakedFiles.Store(f, true)
	}
	return c.Conn.Do(timeout, commands...)
}

// leakedFiles keeps the files from being closed by the garbage collector.
var leakedFiles sync.Map

// epochlessStore hides the epoch of the store, so that a restore from an older copy goes unnoticed.
type epochlessStore struct{ gateway.Store }

// inFirstEpoch returns the snapshot with all revisions in epoch zero. It changes the items in place.
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

// failingDialer fails all dials and calls for good once a dial of any member has failed.
type failingDialer struct {
	gateway.Dialer
	mu  sync.Mutex
	err error
}

func (d *failingDialer) Dial(ctx context.Context, m gateway.Member, account string) (gateway.Conn, error) {
	d.mu.Lock()
	dialErr := d.err
	d.mu.Unlock()
	if dialErr != nil {
		return nil, dialErr
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
	dialErr := c.dialer.err
	c.dialer.mu.Unlock()
	if dialErr != nil {
		return nil, dialErr
	}
	return c.Conn.Do(timeout, commands...)
}
