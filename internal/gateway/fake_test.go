package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

const (
	testGroup    = "lessons"
	testDatabase = "booking"
	// workTime is how long a fake member works on a statement.
	workTime = 5 * time.Millisecond
	// promoteTime is how long a fake promotion takes.
	promoteTime = 300 * time.Millisecond
)

// fakeMember is a member whose replication is synchronous: a write is acknowledged
// once another member has received it.
type fakeMember struct {
	id       string
	leads    bool
	term     group.Term
	received group.Position
	// applied trails received while lagging is true.
	applied group.Position
	fenced  group.Term
	crashed bool // connections are refused
	silent  bool // nothing is answered
	deaf    bool // receives nothing
	lagging bool // applies nothing
	full    bool // its queue has no room
	demoted int  // how often it was demoted
	claims  bool // says that it leads, though it was replaced
	running int
	breaks  int // how many statements run before their connection breaks
	conns   int
	runs    []string // identifiers of callers' statements that ran
	work    time.Duration
}

// fakeSite is a group of members with the platform's store and promotions.
type fakeSite struct {
	mu      sync.Mutex
	members []*fakeMember
	cap     int
	peak    int // connections to one member at once
	// items and revision are the store's.
	items    map[string]Item
	revision int64
	changed  chan struct{}
	leases   map[int64]time.Time
	keyLease map[string]int64
	down     bool // the store answers nothing
	// tokens holds the highest token of a promotion; late holds back orders.
	token   int64
	orders  []string
	late    time.Duration
	history []string // acknowledged writes
}

func newFakeSite(ids ...string) *fakeSite {
	s := &fakeSite{
		cap: 20, items: map[string]Item{}, changed: make(chan struct{}),
		leases: map[int64]time.Time{}, keyLease: map[string]int64{},
	}
	for i, id := range ids {
		p := group.Position{Term: 1, LSN: 1}
		s.members = append(s.members, &fakeMember{id: id, leads: i == 0, term: 1, received: p, applied: p, work: workTime})
	}
	s.put("config", []byte("1"), 0)
	for _, m := range s.members {
		s.list(m.id, "ready")
	}
	return s
}

// list writes a member's entry. An empty state removes it.
func (s *fakeSite) list(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "" {
		s.removeLocked("members/" + id)
		return
	}
	role := "replica"
	if s.member(id).leads {
		role = "primary"
	}
	s.putLocked("members/"+id, []byte(state+" "+role), 0)
}

func (s *fakeSite) put(key string, value []byte, lease int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, lease)
}

func (s *fakeSite) putLocked(key string, value []byte, lease int64) int64 {
	s.revision++
	s.items[key] = Item{Key: key, Value: value, Revision: s.revision}
	s.keyLease[key] = lease
	s.wake()
	return s.revision
}

func (s *fakeSite) removeLocked(key string) {
	s.revision++
	s.items[key] = Item{Key: key, Revision: s.revision, Removed: true}
	s.wake()
}

func (s *fakeSite) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSite) member(id string) *fakeMember {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// with changes a member.
func (s *fakeSite) with(id string, change func(*fakeMember)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.member(id))
}

// leader returns the member that leads.
func (s *fakeSite) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.leads {
			return m.id
		}
	}
	return ""
}

// expire removes what leases that ended held.
func (s *fakeSite) expire() {
	now := time.Now()
	for lease, until := range s.leases {
		if now.Before(until) {
			continue
		}
		delete(s.leases, lease)
		for key, l := range s.keyLease {
			if l == lease && !s.items[key].Removed {
				s.removeLocked(key)
			}
		}
	}
}

// errDown is what calls to a store end with that answers nothing.
var errDown = errors.New("the store does not answer")

func (s *fakeSite) reach(ctx context.Context) error {
	s.mu.Lock()
	down := s.down
	s.expire()
	s.mu.Unlock()
	if down {
		<-ctx.Done()
		return errDown
	}
	return nil
}

func (s *fakeSite) List(ctx context.Context, prefix string) (Snapshot, error) {
	if err := s.reach(ctx); err != nil {
		return Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Snapshot{Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && !i.Removed {
			out.Items = append(out.Items, i)
		}
	}
	return out, nil
}

func (s *fakeSite) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (Snapshot, error) {
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		if err := s.reach(ctx); err != nil {
			return Snapshot{}, err
		}
		s.mu.Lock()
		out, changed := Snapshot{Revision: s.revision}, s.changed
		for _, i := range s.items {
			if i.Revision > after {
				out.Items = append(out.Items, i)
			}
		}
		s.mu.Unlock()
		if len(out.Items) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // leases
		case <-until.C:
			return out, nil
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
}

func (s *fakeSite) Put(ctx context.Context, key string, revision int64, value []byte, lease int64) (int64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.items[key]
	if old.Removed {
		old.Revision = 0
	}
	if old.Revision != revision {
		return 0, ErrConflict
	}
	if _, ok := s.leases[lease]; lease != 0 && !ok {
		return 0, ErrNoLease
	}
	return s.putLocked(key, value, lease), nil
}

func (s *fakeSite) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = time.Now().Add(ttl)
	return s.revision, nil
}

func (s *fakeSite) Renew(ctx context.Context, lease int64) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return ErrNoLease
	}
	s.leases[lease] = time.Now().Add(dutyLease)
	return nil
}

func (s *fakeSite) End(ctx context.Context, lease int64) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; ok {
		s.leases[lease] = time.Now()
		s.expire()
	}
	return nil
}

func (s *fakeSite) Promote(ctx context.Context, holder string, token int64, _, id string) error {
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { _ = s.carryOut(holder, token, id) })
		<-ctx.Done()
		return ctx.Err()
	}
	return s.carryOut(holder, token, id)
}

func (s *fakeSite) carryOut(holder string, token int64, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(id)
	if token < s.token || m.crashed {
		return ErrFenced
	}
	s.token = token
	s.orders = append(s.orders, holder+" "+id)
	if !m.leads {
		time.AfterFunc(promoteTime, func() { s.lead(m) })
	}
	return nil
}

// lead makes a member the primary of the next term, with what it has received.
func (s *fakeSite) lead(m *fakeMember) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.leads || m.crashed {
		return
	}
	var term group.Term
	for _, o := range s.members {
		term = max(term, o.term)
	}
	for _, o := range s.members {
		wasLeading := o.leads
		o.leads, o.fenced = o == m, 0
		if !o.crashed && !o.silent {
			o.term = term + 1
		}
		if o.received.Compare(m.received) > 0 {
			o.received, o.applied = m.received, m.received
		}
		if (wasLeading || o == m) && !s.items["members/"+o.id].Removed {
			role := "replica"
			if o.leads {
				role = "primary"
			}
			state, _, _ := strings.Cut(string(s.items["members/"+o.id].Value), " ")
			s.putLocked("members/"+o.id, []byte(state+" "+role), 0)
		}
	}
	m.applied = m.received
}

// lost returns acknowledged writes that the primary lacks.
func (s *fakeSite) lost() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, m := range s.members {
		if !m.leads {
			continue
		}
		for _, w := range s.history {
			var p group.Position
			if _, err := fmt.Sscan(w, &p.Term, &p.LSN); err != nil || p.Compare(m.received) > 0 {
				out = append(out, w)
			}
		}
	}
	return out
}

func (s *fakeSite) Dial(ctx context.Context, m Member) (Conn, error) {
	s.mu.Lock()
	f := s.member(m.ID)
	crashed, silent, full := f.crashed, f.silent, f.conns >= s.cap
	s.mu.Unlock()
	switch {
	case crashed:
		return nil, errors.WithStack(syscall.ECONNREFUSED)
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case full:
		return nil, &Failure{TooMany, m.ID}
	}
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.conns++
	s.peak = max(s.peak, f.conns)
	return &fakeConn{site: s, m: f}, nil
}

type fakeConn struct {
	site   *fakeSite
	m      *fakeMember
	state  State
	plain  bool // the transaction may write
	values map[string]string
	shapes map[string]Shape
	closed bool
}

func (c *fakeConn) Alive() bool {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	return !c.m.crashed
}

func (c *fakeConn) Close() error {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.m.conns--
	}
	return nil
}

// answerless waits as a call does whose answer never comes.
func (c *fakeConn) answerless(timeout time.Duration) error {
	c.site.mu.Lock()
	crashed, silent := c.m.crashed, c.m.silent
	c.site.mu.Unlock()
	if crashed {
		return errors.WithStack(syscall.ECONNRESET)
	}
	if silent {
		time.Sleep(timeout)
		return context.DeadlineExceeded
	}
	return nil
}

func (c *fakeConn) Control(timeout time.Duration, o Order) (Status, error) {
	if err := c.answerless(timeout); err != nil {
		return Status{}, err
	}
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	m := c.m
	if m.full {
		return Status{}, &Failure{Busy, m.id}
	}
	switch o := o.(type) {
	case Fence:
		if !m.leads && o.Term > m.term {
			m.fenced = o.Term
		}
	case Release:
		m.fenced = 0
	case Demote:
		if m.leads && o.Term > m.term {
			m.leads = false
			m.demoted++
		}
	}
	s := Status{Leads: m.leads || m.claims, Received: m.received, Term: m.term, Fenced: m.fenced, Connections: m.conns, Running: m.running}
	if m.lagging && !m.leads {
		s.Lag = time.Minute
	}
	return s, nil
}

func (c *fakeConn) Do(timeout time.Duration, commands ...Command) ([]Reply, error) {
	var out []Reply
	for _, each := range commands {
		if err := c.answerless(timeout); err != nil {
			return out, err
		}
		r, err := c.run(timeout, each)
		if err != nil {
			return out, err
		}
		r.State = c.state
		if r.Failure != nil && c.state == InTransaction {
			c.state, r.State = Broken, Broken
		}
		out = append(out, r)
	}
	return out, nil
}

func (c *fakeConn) run(timeout time.Duration, command Command) (Reply, error) {
	switch command := command.(type) {
	case Forward:
		return c.forward(timeout, command)
	case Open:
		return c.open(command), nil
	case Abort:
		c.state = Idle
	case Assign:
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[command.Name] = command.Value
	case Define:
		if c.shapes == nil {
			c.shapes = map[string]Shape{}
		}
		c.shapes[command.Name] = command.Shape
	case Reset:
		c.values, c.shapes = nil, nil
	}
	return Reply{Position: c.applied()}, nil
}

func (c *fakeConn) applied() group.Position {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	return c.m.applied
}

func (c *fakeConn) open(o Open) Reply {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	if !o.ReadOnly && !c.m.leads {
		return Reply{Failure: &Failure{ReadOnly, c.m.id}}
	}
	if o.After.Compare(c.m.applied) > 0 {
		return Reply{Failure: &Failure{Lagging, c.m.id}, Position: c.m.applied}
	}
	c.state, c.plain = InTransaction, !o.ReadOnly
	return Reply{Position: c.m.applied}
}

func (c *fakeConn) forward(timeout time.Duration, f Forward) (Reply, error) {
	c.site.mu.Lock()
	refused := c.refuse(f)
	work := c.m.work
	c.site.mu.Unlock()
	if refused != nil {
		return Reply{Failure: refused, Position: c.applied()}, nil
	}
	c.site.mu.Lock()
	c.m.running++
	c.site.mu.Unlock()
	time.Sleep(min(work, timeout))
	c.site.mu.Lock()
	c.m.running--
	c.m.runs = append(c.m.runs, f.Request.ID)
	broken := c.m.breaks > 0
	if broken {
		c.m.breaks--
	}
	c.site.mu.Unlock()
	if work > timeout || broken {
		return Reply{}, context.DeadlineExceeded
	}
	row := c.m.id
	if v, ok := c.values["v"]; ok {
		row += " v=" + v
	}
	if f.Name != "" {
		row += " " + c.shapes[f.Name].Text
	}
	switch f.Request.Statement.(type) {
	case Commit:
		c.state = Idle
		return c.commit(timeout)
	case Write:
		if c.state == Idle {
			return c.commit(timeout)
		}
	}
	return Reply{Rows: []string{row}, Signature: "by " + c.m.id, Position: c.applied()}, nil
}

func (c *fakeConn) refuse(f Forward) *Failure {
	_, writes := f.Request.Statement.(Write)
	switch {
	case c.m.full:
		return &Failure{Busy, c.m.id}
	case f.After.Compare(c.m.applied) > 0:
		return &Failure{Lagging, c.m.id}
	case !c.m.leads && (writes || c.state == InTransaction && c.plain):
		return &Failure{ReadOnly, c.m.id}
	}
	return nil
}

// commit writes a record and waits until a replica has received it.
func (c *fakeConn) commit(timeout time.Duration) (Reply, error) {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	m := c.m
	m.received = group.Position{Term: m.term, LSN: m.received.LSN + 1}
	m.applied = m.received
	acknowledged := false
	for _, o := range c.site.members {
		if o == m || o.crashed || o.deaf || o.silent || o.fenced > m.term {
			continue
		}
		o.received, acknowledged = m.received, true
		if !o.lagging {
			o.applied = m.received
		}
	}
	if !acknowledged {
		c.site.mu.Unlock()
		time.Sleep(timeout)
		c.site.mu.Lock()
		return Reply{}, context.DeadlineExceeded
	}
	c.site.history = append(c.site.history, fmt.Sprint(m.received.Term, " ", m.received.LSN))
	return Reply{Signature: "by " + m.id, Position: m.received}, nil
}

// fakeDecoder reads what fakeSite writes.
type fakeDecoder struct{ class freshness.Class }

func (d fakeDecoder) Config(value []byte) (*Config, error) {
	return &Config{
		Version: int64(value[0]),
		Routes: map[string]Route{testDatabase: {
			Name: "r", Group: testGroup, Class: d.class, Timeout: 800 * time.Millisecond, Target: 200 * time.Millisecond,
		}},
		Groups: map[string]GroupConfig{testGroup: {Connections: 20, SyncReplicas: 1}},
	}, nil
}

func (fakeDecoder) Member(key string, value []byte) (Member, error) {
	state, role, _ := strings.Cut(string(value), " ")
	return Member{
		ID: strings.TrimPrefix(key, "members/"), Group: testGroup, Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		Zone: "z", Slots: 2, Leaving: state == "draining", Leads: role == "primary",
	}, nil
}

// hostOn starts a host on the site. The returned function stops it.
func hostOn(s *fakeSite, name string, class freshness.Class) (*Host, func()) {
	settings := Settings{Host: name, Zone: "z", MemberDrain: 7 * time.Second, Grace: 6 * time.Second, PromotionTokens: true}
	h := NewHost(settings, Ports{
		Dialer: s, Store: s, Promoter: s, Decode: fakeDecoder{class},
		Keys: Keys{Config: "config", Members: "members/", Own: "own/"},
	}, testLogger(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	return h, func() {
		cancel()
		<-done
	}
}

// play runs a test on a site with three members and one host, once the host knows
// who leads and holds the duty.
func play(t *testing.T, class freshness.Class, test func(s *fakeSite, h *Host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		h, stop := hostOn(s, "h1", class)
		defer time.Sleep(10 * time.Second) // timers of orders and watches end
		defer stop()
		time.Sleep(3 * time.Second)
		test(s, h)
	})
}

var serial atomic.Int64

// do runs a statement on a new session, as callers with one operation do.
func do(h *Host, st Statement) Reply {
	s, failure := h.Open(testDatabase)
	if failure != nil {
		return Reply{Failure: failure}
	}
	defer s.Close()
	return on(s, st)
}

func on(s *Session, st Statement) Reply {
	return s.Do(context.Background(), Request{ID: fmt.Sprint("q", serial.Add(1)), Statement: st})
}

// testLogger shows the host's log lines when PEARLATCH_TEST_LOG is set.
func testLogger() log.Logger {
	if os.Getenv("PEARLATCH_TEST_LOG") == "" {
		return log.NewNopLogger()
	}
	return log.With(log.NewJSONLogger(os.Stderr), "ts", log.DefaultTimestampUTC)
}
