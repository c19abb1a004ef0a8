package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/account"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/core/membership"
	"pearlatch/core/quota"
	"pearlatch/core/recall"
	"pearlatch/internal/fleet"
	"pearlatch/internal/follow"
	"pearlatch/internal/pause"
	"pearlatch/internal/quotas"
)

// Settings are what a host needs to know at its start.
type Settings struct {
	// Host is the host's identifier, unique among live hosts.
	Host string
	// Zone is the availability zone that the host runs in.
	Zone string
	// MemberDrain is how long a leaving member still serves.
	MemberDrain time.Duration
	// ShutdownGrace is how long a host has between the order to stop and its end.
	ShutdownGrace time.Duration
	// PromotionTokens is true when the platform refuses promotions with an
	// older fencing token.
	PromotionTokens bool
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// Quotas say how far an account may exceed its quota while hosts disagree.
	Quotas quota.Tolerance
	// Peer is the host's address for other hosts. Without one the host serves its own
	// callers alone.
	Peer netip.AddrPort
	// Seeds are addresses of other hosts, some of which may be gone.
	Seeds []netip.AddrPort
	// Cores is what the host can do, in cores of a processor. Zero means that it is not known, and counts as one.
	Cores float64
}

// Ports are a host's ways to the outside.
type Ports struct {
	Dialer   Dialer
	Store    Store
	Promoter Promoter
	// Peers is nil for a host without an address for other hosts.
	Peers Peers
	// Decode reads what the platform wrote into the store.
	Decode Decoder
	Keys   Keys
	// Metrics counts what the host does. Nil counts nothing.
	Metrics metrics.Registry
}

// Decoder reads the values of the platform's keys.
type Decoder interface {
	Config(value []byte) (*Config, error)
	// Member returns the member that the key and the value describe.
	Member(key string, value []byte) (Member, error)
}

// Keys names keys of the store.
type Keys struct {
	// Config holds the operators' configuration.
	Config string
	// MembersPrefix precedes the members' entries.
	MembersPrefix string
	// OwnPrefix precedes what pearlatch keeps itself.
	OwnPrefix string
}

// Host is a running host. Use NewHost, then Run.
type Host struct {
	settings Settings
	ports    Ports
	logger   log.Logger
	now      func() time.Time
	metrics  hostMetrics

	mu     sync.Mutex
	config *Config
	// maxStaleness holds the shortest age that a route of a group accepts, by group.
	maxStaleness map[string]time.Duration
	// groups holds the Groups that something depends on, and groupCreated gets a token when one comes into being.
	groups       map[string]*Group
	groupCreated chan struct{}
	// storeView is what the host knows of the store, kept up to date by follower and passed on by feeder.
	storeView *follow.Knowledge
	follower  *follow.Follower
	feeder    *follow.Feeder
	// knownRevision is the revision of storeView, for groups.
	knownRevision atomic.Int64
	// configRevision is that of the configuration's item that was read last.
	configRevision kv.Revision
	members        memberTable
	// coordinators holds this host's part in the promotions of each group, by group.
	coordinators map[string]*coordinator
	// coordinatorLease is the lease of those that this host holds.
	coordinatorLease coordinatorLease
	// formerRecords holds, by group, the newest record known from before the store last came back from an older copy.
	formerRecords map[string]leadership.StoredRecord

	quotas *quotas.Keeper
	// coordinatorEntries holds the last entry seen of each duty.
	coordinatorEntries map[string]kv.Item

	// processID names this run of the host: what it knew is lost with it. It began at started.
	processID string
	started   time.Time
	fleet     *fleet.Hosts
	// recentRequests holds the requests of other hosts that came lately.
	recentRequests recall.Log[*PeerReply]
	// requestSerial numbers the requests to other hosts.
	requestSerial atomic.Uint64
	// forwardedCount counts the requests and transactions of other hosts that are open here.
	forwardedCount atomic.Int64

	// storeRead is closed with the first news, and configured with the first configuration.
	storeRead, configured chan struct{}
	// reconfigured is closed and replaced with each configuration.
	reconfigured chan struct{}

	sessions atomic.Int64
	stopping atomic.Bool
	// stopped is closed by Stop, ended when Run returns.
	stopped, ended chan struct{}
	synced         atomic.Bool
}

// NewHost returns a host that does not run yet. now reads a clock that goes on
// while the machine is suspended.
func NewHost(s Settings, p Ports, logger log.Logger, now func() time.Time) *Host {
	m := hostMetrics{p.Metrics}
	p.Store = instrumentedStore{store: p.Store, metrics: m, now: now}
	h := &Host{
		started: now(), metrics: m, settings: s, ports: p, logger: log.With(logger, "host", s.Host), now: now,
		groups: map[string]*Group{}, groupCreated: make(chan struct{}, 1), members: newMemberTable(), storeRead: make(chan struct{}), configured: make(chan struct{}), reconfigured: make(chan struct{}),
		stopped: make(chan struct{}), ended: make(chan struct{}), coordinators: map[string]*coordinator{}, processID: fmt.Sprintf("%s-%08x", s.Host, rand.Uint32()),
	}
	h.storeView = follow.NewKnowledge(h.isLaterValue, now)
	h.coordinatorLease.host = h
	h.fleet = fleet.New(membership.Host{ID: s.Host, Zone: s.Zone, Peer: s.Peer, Cores: s.Cores})
	h.feeder = follow.NewFeeder(h.storeView, h.fleet, h.stopping.Load)
	h.follower = follow.New(follow.Settings{Self: s.Peer, Seeds: s.Seeds, Hosts: h.hostsPrefix()}, follow.Ports{
		Store: p.Store, Peers: p.Peers, Apply: h.applyChanges, Log: h.log,
	}, h.fleet, h.storeView, now)
	h.coordinatorEntries, h.formerRecords = map[string]kv.Item{}, map[string]leadership.StoredRecord{}
	h.quotas = quotas.New(quotas.Settings{Host: s.Host, Process: h.processID, Terms: s.Quotas}, quotaFleet{h}, logger, now)
	return h
}

// Run keeps the host's beliefs up to date until ctx ends.
func (h *Host) Run(ctx context.Context) {
	defer close(h.ended)
	var wait sync.WaitGroup
	wait.Go(func() { h.follower.Run(ctx) })
	wait.Go(func() { h.maintainHostEntry(ctx) })
	wait.Go(func() { h.runCoordinators(ctx) })
	wait.Go(func() { h.keepCoordinatorLease(ctx) })
	wait.Go(func() { h.quotas.Run(ctx) })
	wait.Go(func() { h.trimIdleConns(ctx) })
	wait.Wait()
}

// Reload takes over settings that may change while the host runs: how long leaving
// members serve.
func (h *Host) Reload(s Settings) {
	h.mu.Lock()
	h.settings.MemberDrain = s.MemberDrain
	h.mu.Unlock()
	for _, g := range h.allGroups() {
		g.mu.Lock()
		g.maxDrain = s.MemberDrain - drainMargin
		g.mu.Unlock()
	}
}

// Ready reports whether callers may be sent here.
func (h *Host) Ready() bool { return h.synced.Load() && !h.stopping.Load() }

// Stopping reports whether the host has been told to stop.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Stop makes the host take no new callers, and tells other hosts.
func (h *Host) Stop() {
	if h.stopping.Swap(true) {
		return
	}
	close(h.stopped)
	h.log("stopping", "sessions", h.sessions.Load())
}

// Sessions returns the number of open sessions.
func (h *Host) Sessions() int64 { return h.sessions.Load() }

// AwaitConfig waits for the first configuration, at most for the given time.
func (h *Host) AwaitConfig(atMost time.Duration) {
	select {
	case <-h.configured:
	case <-time.After(atMost):
	}
}

// Reconfigured returns a channel that is closed with the next configuration.
func (h *Host) Reconfigured() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reconfigured
}

// Ended returns a channel that is closed once Run has returned.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// TransactionIdleTimeout returns how long a transaction may rest between statements.
func (h *Host) TransactionIdleTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil || h.config.TransactionIdleTimeout <= 0 {
		return defaultTransactionIdleTimeout
	}
	return h.config.TransactionIdleTimeout
}

// defaultTransactionIdleTimeout holds while no configuration says otherwise.
const defaultTransactionIdleTimeout = 3 * time.Second

// routeTarget is where a caller's statements go, and for whom.
type routeTarget struct {
	route   Route
	group   *Group
	account *account.Account
}

// route finds the route of a database, its group, and the account for which the caller acts.
func (h *Host) route(database string, c account.Caller) (routeTarget, *Failure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, a, err := h.routeAndAccount(database, c)
	if err != nil {
		return routeTarget{}, err
	}
	return routeTarget{r, h.ensureGroup(r.Group), a}, nil
}

// routeAndAccount finds the route of a database and the account for which the caller acts. h.mu is held.
func (h *Host) routeAndAccount(database string, c account.Caller) (Route, *account.Account, *Failure) {
	if h.config == nil {
		return Route{}, nil, &Failure{Busy, "no configuration yet, " + retryAfter(0)}
	}
	r, ok := h.config.Routes[database]
	if !ok {
		return Route{}, nil, &Failure{NoDatabase, database}
	}
	a, ok := account.Authorize(h.config.Accounts, r.Public, c)
	if !ok {
		return Route{}, nil, &Failure{Unauthorized, fmt.Sprintf("no account of configuration %d has the key", h.config.Version)}
	}
	return r, a, nil
}

// authorize returns why the caller may not use the database, or nil.
func (h *Host) authorize(database string, c account.Caller) *Failure {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _, err := h.routeAndAccount(database, c)
	return err
}

// trimInterval is the pause between two looks at unused connections.
const trimInterval = 250 * time.Millisecond

func (h *Host) trimIdleConns(ctx context.Context) {
	for pause.For(ctx, trimInterval) {
		for _, g := range h.allGroups() {
			g.trimConns()
			g.closeIdleControlConns()
		}
		h.storeView.Trim()
	}
}

// contextUntil returns a context that ends with its parent, and once done is closed.
func contextUntil(parent context.Context, done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (h *Host) log(event string, fields ...any) {
	_ = h.logger.Log(append([]any{"event", event}, fields...)...)
}

// RefreshMetrics brings the gauges up to date.
func (h *Host) RefreshMetrics() {
	s := h.Snapshot()
	h.metrics.set("sessions", s.Sessions)
	h.metrics.set("config_version", s.ConfigVersion)
	for _, g := range s.Groups {
		h.metrics.set(fmt.Sprintf("waiting{group=%q}", g.Name), int64(g.Waiting))
		h.metrics.set(fmt.Sprintf("sample_age_milliseconds{group=%q}", g.Name), g.SampleAge.Milliseconds())
		for _, m := range g.Members {
			label := fmt.Sprintf("{group=%q,member=%q}", g.Name, m.ID)
			h.metrics.set("connections"+label, int64(m.Connections))
			h.metrics.set("connection_share"+label, int64(g.Share))
			h.metrics.set("window"+label, int64(m.Window))
		}
	}
}

// logFailure writes the line of a statement that failed, with what decided it: the
// configuration's version, the primary as believed, how long ago it was proven to lead,
// and how many statements waited for a connection of the group.
func (h *Host) logFailure(s *Session, r Request, arrived time.Time, f *Failure) {
	fields := []any{
		"request", r.ID, "database", s.database, "code", f.Code, "detail", f.Detail,
		"took_ms", h.now().Sub(arrived).Milliseconds(), "state", s.state,
	}
	fields = append(fields, "config_version", h.configVersion())
	if at, unknown := s.route(); unknown == nil {
		fields = append(fields, "account", at.account.Name, "group", at.group.name)
		fields = append(fields, at.group.logFields()...)
	}
	if s.origin != nil {
		fields = append(fields, "for", s.origin.from)
	}
	h.log("statement_failed", fields...)
}

// logRefused writes the line of a caller that gets no session, with how old the news is that decided it.
func (h *Host) logRefused(database string, f *Failure) {
	h.log("caller_refused", "database", database, "code", f.Code, "config_version", h.configVersion(), "news_age_ms", h.storeView.Age().Milliseconds())
	h.metrics.count(fmt.Sprintf("callers_refused_total{code=%q}", f.Code), 1)
}

// logDeclined writes the line of another host's statement that this one did not run, since
// it can't reach the primary.
func (h *Host) logDeclined(s *Session, r Request, arrived time.Time) {
	fields := []any{"request", r.ID, "database", s.database, "for", s.origin.from, "group", s.origin.group.name,
		"took_ms", h.now().Sub(arrived).Milliseconds()}
	h.log("sent_back", append(fields, s.origin.group.logFields()...)...)
}

// configVersion returns the version of the configuration in force.
func (h *Host) configVersion() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil {
		return 0
	}
	return h.config.Version
}

// logAttempt writes the line of a statement whose offer to a member failed.
func (h *Host) logAttempt(s *Session, r Request, w *operation, member, outcome string, err error) {
	h.log("offer", "request", r.ID, "database", s.database, "group", w.group.name, "member", member,
		"outcome", outcome, "writes", w.writes, "after", w.need.MinPosition, "err", err)
}
