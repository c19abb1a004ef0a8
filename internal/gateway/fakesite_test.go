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
	// workTime is how long a fake member takes to run a statement.
	workTime = 5 * time.Millisecond
	// promoteTime is how long a fake promotion takes.
	promoteTime = 300 * time.Millisecond
	// lateDelay is how much later a request is carried out that the platform left unanswered.
	lateDelay = 5 * time.Second
)

// fakeMember is a member with synchronous replication: a write is acknowledged
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
	silent          bool // does not answer
	receivesNothing bool // receives no log from the primary
	resets          bool // resets connections for probes, as a member at its connection limit does
	resetsControl   int  // number of control commands that it will answer with a reset
	partitioned     bool // cut off from the other members: if replaced, it stays primary in its own term
	incarnation     int  // identifies this run of the member's process
	written         int  // how often it wrote its store entry
	lagging         bool // applies nothing
	full            bool // its queue is full
	refusesProbes   bool // its queue is too full for probes
	demoted         int  // how often it was demoted
	claimsPrimary   bool // reports itself as primary although it was replaced
	running         int
	breaksAfter     int // how many statements run before their connection breaks
	conns           int
	runs            []string // IDs of callers' statements that ran
	work            time.Duration
}

// statementRun is what a connection held when a statement ran on it.
type statementRun struct {
	id       string
	values   map[string]string
	prepared PreparedStatement
	// inTransaction is true if a transaction was open.
	inTransaction bool
}

// fakeSite is a group of fake members with the platform's store and promotions.
type fakeSite struct {
	mu        sync.Mutex
	members   []*fakeMember
	maxConns  int
	peakConns int // highest number of concurrent connections to one member
	probes    int // number of status probes
	// items and revision are the content and the revision of the store.
	items         map[string]kv.Item
	revision      kv.Revision
	changed       chan struct{}
	leases        map[int64]time.Time
	keyLease      map[string]int64
	storeDown     bool // the store does not answer
	storeRefusing bool // the store refuses all calls immediately
	// pages counts the pages that were read. Each holds at most pageItems items, unless that is zero.
	pages, pageItems int
	// commits counts transactions, and renewals counts lease renewals.
	commits, renewals int
	storeDelay        time.Duration // duration of each call
	// token is the highest token of a promotion; promotionDelay delays the execution of promotions.
	token          int64
	promotions     []string
	promotionDelay time.Duration
	// lateRequests is the number of promotion requests that will be left unanswered and carried out lateDelay later.
	lateRequests int
	// ignoresTokens is true for a platform that does not check fencing tokens.
	ignoresTokens bool
	// keepsLaterFences is true if a promotion ends only the fences up to its term.
	keepsLaterFences   bool
	acknowledgedWrites []group.Position // positions of acknowledged writes
	droppedWrites      []group.Position // those of them that a promoted member did not hold
	// ranFor maps a statement's ID to the account of the connection on which it ran.
	ranFor map[string]string
	// refuses, if set, returns the failure with which members refuse a command, or nil.
	refuses func(Command) *Failure
	// ranUnder lists what the connections of the statements that ran held.
	ranUnder []statementRun
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

// entry returns the next value of the member's store entry.
func (m *fakeMember) entry(state, role string) []byte {
	m.written++
	return fmt.Appendf(nil, "%s %s %d %d", state, role, m.incarnation, m.written)
}

// restart restarts a member under the same ID with an empty log and no fence.
func (s *fakeSite) restart(id string) {
	s.updateMember(id, func(m *fakeMember) {
		m.incarnation++
		m.received, m.applied, m.fenced, m.isPrimary = group.Position{}, group.Position{}, 0, false
	})
	s.writeMemberEntry(id, "ready")
}

// updateMember changes a member while holding the site's lock.
func (s *fakeSite) updateMember(id string, change func(*fakeMember)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.member(id))
}

// ran returns the IDs of callers' statements that the member ran.
func (s *fakeSite) ran(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.member(id).runs)
}

// promotionRequests returns the accepted promotion requests, each as the requesting host and the member.
func (s *fakeSite) promotionRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.promotions)
}

// peakConnections returns the highest number of concurrent connections to one member.
func (s *fakeSite) peakConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConns
}

// primaryID returns the ID of the primary with the highest term, or the empty string.
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
	delay := s.promotionDelay
	if s.lateRequests > 0 {
		s.lateRequests--
		delay = lateDelay
	}
	s.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = s.executePromotion(holder, token, id) })
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
		return ErrPromotionRefused
	}
	s.token = token
	s.promotions = append(s.promotions, holder+" "+id)
	if !m.isPrimary {
		time.AfterFunc(promoteTime, func() { s.makePrimary(m) })
	}
	return nil
}

// makePrimary makes a member the primary of the next term, with the log that it has received.
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
		wasPrimary := o.isPrimary
		s.endFence(o, term+1)
		if (o.partitioned || m.partitioned) && o != m {
			continue
		}
		o.isPrimary = o == m
		if !o.crashed && !o.silent {
			o.term = term + 1
		}
		if o.received.Compare(m.received) > 0 {
			o.received, o.applied = m.received, m.received
		}
		if (wasPrimary || o == m) && !s.items["members/"+o.id].Removed {
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

// endFence ends the fence of a member when a promotion begins the term.
func (s *fakeSite) endFence(m *fakeMember, term group.Term) {
	if !s.keepsLaterFences || m.fenced <= term {
		m.fenced = 0
	}
}

// lostWrites returns the acknowledged writes that the primary lacks or that a promotion dropped.
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

// zoneOfMember maps a member to its availability zone. The hosts of a fakeFleet are in the same zones; a single
// host started by startHost is in another.
var zoneOfMember = map[string]string{"a": "z0", "b": "z1", "c": "z2"}

// fakeDecoder decodes the values that fakeSite stores.
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

// fakeAccounts decodes the accounts that follow the first two bytes of a configuration, one per line: name, key and
// optionally the rate, which is also the burst.
func fakeAccounts(value []byte) (*account.Directory, error) {
	if len(value) <= 2 {
		return nil, nil
	}
	var out []account.Account
	for line := range strings.Lines(string(value[2:])) {
		f := strings.Fields(line)
		a := account.Account{Name: f[0], KeyFingerprints: []account.Fingerprint{account.FingerprintOf(f[1])}}
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

// configWithAccounts encodes a configuration with the accounts, given as the lines that fakeAccounts decodes.
func configWithAccounts(version, connections byte, lines ...string) []byte {
	return append([]byte{version, connections}, strings.Join(lines, "\n")...)
}

func (fakeDecoder) Member(key string, value []byte) (Member, error) {
	var state, role string
	var incarnation, written int64
	if _, err := fmt.Sscan(string(value), &state, &role, &incarnation, &written); err != nil {
		return Member{}, err
	}
	return Member{
		ID: strings.TrimPrefix(key, "members/"), Group: testGroup, Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		Zone: zoneOfMember[strings.TrimPrefix(key, "members/")], Slots: 2, Leaving: state == "draining", IsPrimary: role == "primary", Incarnation: incarnation, Sequence: written,
	}, nil
}

// startHost starts a host on the site. The returned function stops it and waits until it has ended.
func startHost(s *fakeSite, name string, class freshness.Class) (*Host, func()) {
	return startHostWith(s, name, class, func(*Ports) {})
}

// startHostWith is like startHost, and calls change with the host's external dependencies first.
func startHostWith(s *fakeSite, name string, class freshness.Class, change func(*Ports)) (*Host, func()) {
	settings := Settings{Host: name, Zone: "z", MemberDrain: 7 * time.Second, ShutdownGrace: 6 * time.Second, PromotionTokens: !s.ignoresTokens}
	ports := Ports{
		Dialer: s, Store: s, Promoter: s, Decode: fakeDecoder{class},
		Keys: Keys{Config: "config", MembersPrefix: "members/", OwnPrefix: "own/"},
	}
	change(&ports)
	h := NewHost(settings, ports, testLogger(), time.Now)
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
// the primary and is the coordinator.
func withHost(t *testing.T, class freshness.Class, test func(s *fakeSite, h *Host)) {
	t.Helper()
	withHostDialing(t, class, func(s *fakeSite) Dialer { return s }, test)
}

// withHostDialing is withHost for a host that dials members with the dialer that dialer returns.
func withHostDialing(t *testing.T, class freshness.Class, dialer func(*fakeSite) Dialer, test func(s *fakeSite, h *Host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		h, stop := startHostWith(s, "h1", class, func(p *Ports) { p.Dialer = dialer(s) })
		defer time.Sleep(10 * time.Second) // lets the timers of promotions and store watches end
		defer stop()
		time.Sleep(3 * time.Second)
		test(s, h)
	})
}

var requestSerial atomic.Int64

// exec runs a statement in a new session, as a caller with a single operation does.
func exec(h *Host, st Statement) Reply { return execAs(h, "", st) }

// execAs is exec for a caller with the given account key.
func execAs(h *Host, key string, st Statement) Reply {
	s, failure := h.Open(testDatabase, account.Credentials{KeyFingerprint: account.FingerprintOf(key)})
	if failure != nil {
		return Reply{Failure: failure}
	}
	defer s.Close()
	return execIn(s, st)
}

// execIn runs a statement in the session.
func execIn(s *Session, st Statement) Reply {
	return s.Do(context.Background(), Request{ID: fmt.Sprint("q", requestSerial.Add(1)), Statement: st})
}

// testLogger returns a logger that writes to standard error if PEARLATCH_TEST_LOG is set, and else discards.
func testLogger() log.Logger {
	if os.Getenv("PEARLATCH_TEST_LOG") == "" {
		return log.NewNopLogger()
	}
	return log.With(log.NewJSONLogger(os.Stderr), "ts", log.DefaultTimestampUTC)
}
