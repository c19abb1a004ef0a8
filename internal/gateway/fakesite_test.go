package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/kv"
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
	id        string
	isPrimary bool
	term      group.Term
	received  group.Position
	// applied trails received while lagging is true.
	applied         group.Position
	fenced          group.Term
	crashed         bool // connections are refused
	silent          bool // nothing is answered
	receivesNothing bool // receives nothing
	resets          bool // resets connections for questions, as a full member does
	partitioned     bool // parted from the other members: if replaced, it leads on in its term
	incarnation     int  // which run of the member this is
	written         int  // how often it wrote its entry
	lagging         bool // applies nothing
	full            bool // its queue has no room
	demoted         int  // how often it was demoted
	claimsPrimary   bool // says that it leads, though it was replaced
	running         int
	breaksAfter     int // how many statements run before their connection breaks
	conns           int
	runs            []string // identifiers of callers' statements that ran
	work            time.Duration
}

// fakeSite is a group of members with the platform's store and promotions.
type fakeSite struct {
	mu        sync.Mutex
	members   []*fakeMember
	maxConns  int
	peakConns int // connections to one member at once
	probes    int // questions for a member's status
	// items and revision are the store's.
	items         map[string]kv.Item
	revision      kv.Revision
	changed       chan struct{}
	leases        map[int64]time.Time
	keyLease      map[string]int64
	storeDown     bool // the store answers nothing
	storeRefusing bool // the store refuses all calls at once
	// pages counts the pages that were read. Each holds pageItems items at most, if that is set.
	pages, pageItems int
	// commits counts the transactions, and renewals those of leases.
	commits, renewals int
	storeDelay        time.Duration // each call takes so long
	// tokens holds the highest token of a promotion; promotionDelay holds back orders.
	token          int64
	promotions     []string
	promotionDelay time.Duration
	// ignoresTokens is true for a platform that checks no tokens.
	ignoresTokens      bool
	acknowledgedWrites []group.Position // acknowledged writes
	droppedWrites      []group.Position // those that a promoted member did not hold
	// ranFor holds the account of the connection on which each statement ran.
	ranFor map[string]string
}

func newFakeSite(ids ...string) *fakeSite {
	s := &fakeSite{
		maxConns: 20, items: map[string]kv.Item{}, changed: make(chan struct{}),
		leases: map[int64]time.Time{}, keyLease: map[string]int64{}, ranFor: map[string]string{},
	}
	for i, id := range ids {
		p := group.Position{Term: 1, LSN: 1}
		s.members = append(s.members, &fakeMember{id: id, isPrimary: i == 0, term: 1, received: p, applied: p, work: workTime})
	}
	s.put("config", []byte("1"), 0)
	for _, m := range s.members {
		s.writeMemberEntry(m.id, "ready")
	}
	return s
}

func (s *fakeSite) member(id string) *fakeMember {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// entry returns what the member writes into the store.
func (m *fakeMember) entry(state, role string) []byte {
	m.written++
	return fmt.Appendf(nil, "%s %s %d %d", state, role, m.incarnation, m.written)
}

// restart ends a member and starts it again under its identifier, with nothing of before.
func (s *fakeSite) restart(id string) {
	s.updateMember(id, func(m *fakeMember) {
		m.incarnation++
		m.received, m.applied, m.fenced, m.isPrimary = group.Position{}, group.Position{}, 0, false
	})
	s.writeMemberEntry(id, "ready")
}

// updateMember changes a member.
func (s *fakeSite) updateMember(id string, change func(*fakeMember)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.member(id))
}

// ran returns the callers' statements that the member ran.
func (s *fakeSite) ran(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.member(id).runs)
}

// promotionOrders returns the promotions that were ordered.
func (s *fakeSite) promotionOrders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.promotions)
}

// peakConnections returns how many connections one member had at once.
func (s *fakeSite) peakConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConns
}

// primaryID returns the member that leads in the highest term.
func (s *fakeSite) primaryID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.primaryLocked(); m != nil {
		return m.id
	}
	return ""
}

func (s *fakeSite) primaryLocked() *fakeMember {
	var out *fakeMember
	for _, m := range s.members {
		if m.isPrimary && (out == nil || m.term > out.term) {
			out = m
		}
	}
	return out
}

func (s *fakeSite) Promote(ctx context.Context, holder string, token int64, _, id string) error {
	s.mu.Lock()
	late := s.promotionDelay
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { _ = s.executePromotion(holder, token, id) })
		<-ctx.Done()
		return ctx.Err()
	}
	return s.executePromotion(holder, token, id)
}

// RaiseToken implements Promoter.
func (s *fakeSite) RaiseToken(_ context.Context, _ string, token int64, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = max(s.token, token)
	return nil
}

func (s *fakeSite) executePromotion(holder string, token int64, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(id)
	if token < s.token && !s.ignoresTokens || m.crashed {
		return ErrFenced
	}
	s.token = token
	s.promotions = append(s.promotions, holder+" "+id)
	if !m.isPrimary {
		time.AfterFunc(promoteTime, func() { s.makePrimary(m) })
	}
	return nil
}

// makePrimary makes a member the primary of the next term, with what it has received.
func (s *fakeSite) makePrimary(m *fakeMember) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.isPrimary || m.crashed {
		return
	}
	s.droppedWrites = append(s.droppedWrites, s.writesBeyond(m.received)...)
	var term group.Term
	for _, o := range s.members {
		term = max(term, o.term)
	}
	for _, o := range s.members {
		wasLeading := o.isPrimary
		o.fenced = 0
		if o.partitioned && o != m {
			continue
		}
		o.isPrimary = o == m
		if !o.crashed && !o.silent {
			o.term = term + 1
		}
		if o.received.Compare(m.received) > 0 {
			o.received, o.applied = m.received, m.received
		}
		if (wasLeading || o == m) && !s.items["members/"+o.id].Removed {
			role := "replica"
			if o.isPrimary {
				role = "primary"
			}
			state, _, _ := strings.Cut(string(s.items["members/"+o.id].Value), " ")
			s.putLocked("members/"+o.id, o.entry(state, role), 0)
		}
	}
	m.applied = m.received
}

// lostWrites returns acknowledged writes that the primary lacks.
func (s *fakeSite) lostWrites() []group.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.primaryLocked()
	if m == nil {
		return s.droppedWrites
	}
	return append(s.writesBeyond(m.received), s.droppedWrites...)
}

// writesBeyond returns the acknowledged writes that a log up to the position lacks.
func (s *fakeSite) writesBeyond(end group.Position) []group.Position {
	var out []group.Position
	for _, p := range s.acknowledgedWrites {
		if p.Compare(end) > 0 {
			out = append(out, p)
		}
	}
	return out
}

// zoneOfMember is the availability zone of each member. A fleet's hosts are in the same ones, a
// lone host is in another.
var zoneOfMember = map[string]string{"a": "z0", "b": "z1", "c": "z2"}

// fakeDecoder reads what fakeSite writes.
type fakeDecoder struct{ class freshness.Class }

func (d fakeDecoder) Config(value []byte) (*Config, error) {
	connections := 20
	if len(value) > 1 {
		connections = int(value[1])
	}
	accounts, err := fakeAccounts(value)
	if err != nil {
		return nil, err
	}
	return &Config{
		Version: int64(value[0]), Accounts: accounts,
		Routes: map[string]Route{testDatabase: {
			Name: "r", Group: testGroup, Class: d.class, Timeout: 800 * time.Millisecond, LatencyTarget: 200 * time.Millisecond,
		}},
		Groups: map[string]GroupConfig{testGroup: {Connections: connections, SyncReplicas: 1}},
	}, nil
}

// fakeAccounts reads what follows the first two bytes of a configuration: an account a line, with its name,
// its key, and its rate if it has one. Its burst is as large.
func fakeAccounts(value []byte) (*account.Directory, error) {
	if len(value) <= 2 {
		return nil, nil
	}
	var out []account.Account
	for line := range strings.Lines(string(value[2:])) {
		f := strings.Fields(line)
		a := account.Account{Name: f[0], Keys: []account.Fingerprint{account.FingerprintOf(f[1])}}
		if len(f) > 2 {
			rate, err := strconv.ParseFloat(f[2], 64)
			if err != nil {
				return nil, err
			}
			a.Quota = account.Quota{Rate: rate, Burst: rate}
		}
		out = append(out, a)
	}
	return account.NewDirectory(out)
}

// configWithAccounts returns a configuration with these accounts.
func configWithAccounts(version, connections byte, lines ...string) []byte {
	return append([]byte{version, connections}, strings.Join(lines, "\n")...)
}

func (fakeDecoder) Member(key string, value []byte) (Member, error) {
	var state, role string
	var born, written int64
	if _, err := fmt.Sscan(string(value), &state, &role, &born, &written); err != nil {
		return Member{}, err
	}
	return Member{
		ID: strings.TrimPrefix(key, "members/"), Group: testGroup, Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		Zone: zoneOfMember[strings.TrimPrefix(key, "members/")], Slots: 2, Leaving: state == "draining", IsPrimary: role == "primary", Incarnation: born, Sequence: written,
	}, nil
}

// startHost starts a host on the site. The returned function stops it.
func startHost(s *fakeSite, name string, class freshness.Class) (*Host, func()) {
	settings := Settings{Host: name, Zone: "z", MemberDrain: 7 * time.Second, ShutdownGrace: 6 * time.Second, PromotionTokens: !s.ignoresTokens}
	h := NewHost(settings, Ports{
		Dialer: s, Store: s, Promoter: s, Decode: fakeDecoder{class},
		Keys: Keys{Config: "config", MembersPrefix: "members/", OwnPrefix: "own/"},
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

// withHost runs a test on a site with three members and one host, once the host knows
// who leads and holds the duty.
func withHost(t *testing.T, class freshness.Class, test func(s *fakeSite, h *Host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		h, stop := startHost(s, "h1", class)
		defer time.Sleep(10 * time.Second) // timers of orders and watches end
		defer stop()
		time.Sleep(3 * time.Second)
		test(s, h)
	})
}

var requestSerial atomic.Int64

// exec runs a statement on a new session, as callers with one operation do.
func exec(h *Host, st Statement) Reply { return execAs(h, "", st) }

// execAs does the same with a key.
func execAs(h *Host, key string, st Statement) Reply {
	s, failure := h.Open(testDatabase, account.Caller{Key: account.FingerprintOf(key)})
	if failure != nil {
		return Reply{Failure: failure}
	}
	defer s.Close()
	return execIn(s, st)
}

func execIn(s *Session, st Statement) Reply {
	return s.Do(context.Background(), Request{ID: fmt.Sprint("q", requestSerial.Add(1)), Statement: st})
}

// testLogger shows the host's log lines when PEARLATCH_TEST_LOG is set.
func testLogger() log.Logger {
	if os.Getenv("PEARLATCH_TEST_LOG") == "" {
		return log.NewNopLogger()
	}
	return log.With(log.NewJSONLogger(os.Stderr), "ts", log.DefaultTimestampUTC)
}
