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
	"pearlatch/core/admission"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/core/membership"
	"pearlatch/core/quota"
	"pearlatch/core/quota/share"
	"pearlatch/core/recall"
	"pearlatch/internal/fleet"
	"pearlatch/internal/follow"
	"pearlatch/internal/hostmetrics"
	"pearlatch/internal/pause"
	"pearlatch/internal/quotas"
	"pearlatch/internal/usage"
)

// Settings are the startup settings of a host.
type Settings struct {
	// Host is the host's identifier, unique among live hosts.
	Host string
	// Zone is the availability zone that the host runs in.
	Zone string
	// MemberDrain is how long a leaving member continues to serve.
	MemberDrain time.Duration
	// ShutdownGrace is the time between the order to stop and the end of the process.
	ShutdownGrace time.Duration
	// PromotionTokens is true if the platform rejects promotions with an older fencing token.
	PromotionTokens bool
	// MinLeaseTTL is the shortest TTL of a lease that the store grants.
	MinLeaseTTL time.Duration
	// QuotaTolerance limits how far an account may exceed its quota while hosts disagree, and PortionShare how much of it
	// this host grants as portions.
	QuotaTolerance quota.Tolerance
	PortionShare   share.Portions
	// Peer is the host's address for other hosts. Without one, the host serves only its own callers.
	Peer netip.AddrPort
	// Seeds are addresses of other hosts. Some of these hosts may no longer exist.
	Seeds []netip.AddrPort
	// Cores is the host's capacity in processor cores. Zero means unknown and counts as one core.
	Cores float64
}

// Ports are the interfaces through which a host reaches other systems.
type Ports struct {
	Dialer   Dialer
	Store    Store
	Promoter Promoter
	// Peers is nil for a host without an address for other hosts.
	Peers Peers
	// Decode decodes the values that the platform writes to the store.
	Decode Decoder
	Keys   Keys
	// Metrics receives the host's metrics. If it is nil, none are recorded.
	Metrics metrics.Registry
}

// Decoder decodes the values of the platform's keys.
type Decoder interface {
	// Config decodes the operators' configuration.
	Config(value []byte) (*Config, error)
	// Member decodes a member's entry from its key and value.
	Member(key string, value []byte) (Member, error)
}

// Keys holds the names and prefixes of the store's keys.
type Keys struct {
	// Config is the key of the operators' configuration.
	Config string
	// MembersPrefix is the prefix of the keys of members' entries.
	MembersPrefix string
	// OwnPrefix is the prefix of the keys that pearlatch writes.
	OwnPrefix string
}

// Host serves callers on one machine. Create it with NewHost and start it with Run. Its methods may be called from several
// goroutines.
type Host struct {
	settings Settings
	ports    Ports
	logger   log.Logger
	now      func() time.Time
	metrics  hostmetrics.Recorder
	usage    usage.Table

	mu     sync.Mutex
	config *Config
	// calendar assigns retry times to callers that are refused for lack of a configuration.
	calendar admission.Calendar
	// maxStaleness holds, by group, the smallest maximum age among the group's routes.
	maxStaleness map[string]time.Duration
	// groups holds the Groups that this host keeps, by name. groupCreated receives a value when one is created.
	groups       map[string]*Group
	groupCreated chan struct{}
	// storeView is the host's view of the store. follower updates it, and feeder sends the changes to other hosts.
	storeView *follow.StoreView
	follower  *follow.Follower
	feeder    *follow.Feeder
	// knownRevision is the revision of storeView, which groups read without h.mu.
	knownRevision atomic.Int64
	// configRevision is the revision of the configuration item that was last read.
	configRevision kv.Revision
	members        memberTable
	// coordinators holds the coordinators of the Groups in groups, by group. A coordinator may or may not hold the role.
	coordinators map[string]*coordinator
	// coordinatorLease is the store lease under all roles of this host.
	coordinatorLease coordinatorLease
	// formerRecords holds, by group, the newest record known from before the last restore of the store.
	formerRecords map[string]leadership.StoredRecord

	quotas *quotas.Enforcer
	// quotaGranterEntries holds the last known entry of each group's coordinator role, also after the entry has expired:
	// its holder remains the granter of quotas until there is another one.
	quotaGranterEntries map[string]kv.Item

	// processID identifies this run of the host, whose state in memory ends with it. started is when the run began.
	processID string
	started   time.Time
	fleet     *fleet.Hosts
	// recentRequests holds the recent requests of other hosts.
	recentRequests recall.Log[*PeerReply]
	// requestSerial numbers the requests to other hosts.
	requestSerial atomic.Uint64
	// forwardedCount is the number of open requests and transactions of other hosts.
	forwardedCount atomic.Int64
	// pendingReplies is the number of replies to other hosts that have not been sent.
	pendingReplies atomic.Int64

	// storeRead is closed on the first update from the store, configured once the first configuration is set.
	storeRead, configured chan struct{}
	// reconfigured is closed and replaced on each new configuration.
	reconfigured chan struct{}

	sessions atomic.Int64
	stopping atomic.Bool
	// phase is the shutdown.Phase that was entered last.
	phase    atomic.Uint32
	shutdown shutdownState
	// stopped is closed by Stop, ended when Run returns.
	stopped, ended chan struct{}
	// synced is true once a configuration and the members known by then have been applied.
	synced atomic.Bool
}

// NewHost returns a host that is not running yet. now reads a clock that continues while the machine is suspended.
func NewHost(s Settings, p Ports, logger log.Logger, now func() time.Time) *Host {
	m := hostmetrics.Recorder{Registry: p.Metrics}
	p.Store = instrumentedStore{store: &verifiedStore{Store: p.Store}, metrics: m, now: now}
	h := &Host{
		started: now(), metrics: m, settings: s, ports: p, logger: log.With(logger, "host", s.Host), now: now,
		groups: map[string]*Group{}, groupCreated: make(chan struct{}, 1), members: newMemberTable(), storeRead: make(chan struct{}), configured: make(chan struct{}), reconfigured: make(chan struct{}),
		stopped: make(chan struct{}), ended: make(chan struct{}), coordinators: map[string]*coordinator{}, processID: fmt.Sprintf("%s-%08x", s.Host, rand.Uint32()),
	}
	h.storeView = follow.NewStoreView(h.isLaterValue, now)
	h.coordinatorLease.host, h.shutdown = h, newShutdownState()
	h.fleet = fleet.New(membership.Host{ID: s.Host, Zone: s.Zone, Peer: s.Peer, Cores: s.Cores})
	h.feeder = follow.NewFeeder(h.storeView, h.fleet, h.stopping.Load)
	h.follower = follow.New(follow.Settings{Self: s.Peer, Seeds: s.Seeds, HostsPrefix: h.hostsPrefix()}, follow.Ports{
		Store: p.Store, Peers: p.Peers, Apply: h.applyChanges, Log: h.log,
	}, h.fleet, h.storeView, now)
	h.quotaGranterEntries, h.formerRecords = map[string]kv.Item{}, map[string]leadership.StoredRecord{}
	h.quotas = quotas.New(quotas.Settings{Host: s.Host, Process: h.processID, Tolerance: s.QuotaTolerance, PortionShare: s.PortionShare, Metrics: p.Metrics}, quotaFleet{h.fleet, h}, logger, now)
	return h
}

// Run keeps the host's state up to date until ctx ends. It must be called once.
func (h *Host) Run(ctx context.Context) {
	defer close(h.ended)
	var wait sync.WaitGroup
	wait.Go(func() { h.follower.Run(ctx) })
	wait.Go(func() { h.maintainHostEntry(ctx) })
	wait.Go(func() { h.runCoordinators(ctx) })
	wait.Go(func() { h.keepCoordinatorLease(ctx) })
	wait.Go(func() { h.quotas.Run(ctx) })
	wait.Go(func() { h.runMaintenance(ctx) })
	wait.Wait()
}

// Reload applies the setting that may change while the host runs: MemberDrain.
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

// Ready reports whether the host accepts callers: it has a configuration and is not stopping.
func (h *Host) Ready() bool { return h.synced.Load() && !h.stopping.Load() }

// Stopping reports whether the host has been told to stop.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Stop makes the host reject new callers and announce to other hosts that it is leaving.
func (h *Host) Stop() {
	if h.stopping.Swap(true) {
		return
	}
	close(h.stopped)
	h.log("stopping", "sessions", h.sessions.Load())
}

// Sessions returns the number of open sessions.
func (h *Host) Sessions() int64 { return h.sessions.Load() }

// AwaitConfig waits for the first configuration until the timeout expires.
func (h *Host) AwaitConfig(timeout time.Duration) {
	select {
	case <-h.configured:
	case <-time.After(timeout):
	}
}

// Reconfigured returns a channel that is closed on the next configuration.
func (h *Host) Reconfigured() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reconfigured
}

// Ended returns a channel that is closed once Run has returned.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// TransactionIdleTimeout returns how long a transaction may be idle between statements.
func (h *Host) TransactionIdleTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil || h.config.TransactionIdleTimeout <= 0 {
		return defaultTransactionIdleTimeout
	}
	return h.config.TransactionIdleTimeout
}

// defaultTransactionIdleTimeout applies while the configuration sets no timeout.
const defaultTransactionIdleTimeout = 3 * time.Second

// routeTarget is the route and group of a caller's statements and the account they run for.
type routeTarget struct {
	route   Route
	group   *Group
	account *account.Account
}

// route returns the route of a database, its group and the caller's account. It creates the group if necessary.
func (h *Host) route(database string, c account.Credentials) (routeTarget, *Failure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, a, err := h.routeAndAccount(database, c)
	if err != nil {
		return routeTarget{}, err
	}
	return routeTarget{r, h.ensureGroup(r.Group), a}, nil
}

// routeAndAccount returns the route of a database and the caller's account. h.mu must be held.
func (h *Host) routeAndAccount(database string, c account.Credentials) (Route, *account.Account, *Failure) {
	if h.config == nil {
		now := h.now()
		b := admission.Booking{Earliest: now.Sub(h.started), Latest: maxConfigRetry, Random: rand.Float64()}
		return Route{}, nil, &Failure{Busy, "no configuration yet, " + retryAfter(h.calendar.Book(now, b))}
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

// maxConfigRetry bounds the time after which a caller retries while there is no configuration, and its timeout is not
// known. Three attempts then fit into 800 ms, the shortest timeout in use.
const maxConfigRetry = 300 * time.Millisecond

// authorize returns a failure if the caller may not use the database.
func (h *Host) authorize(database string, c account.Credentials) *Failure {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _, err := h.routeAndAccount(database, c)
	return err
}

// maintenanceInterval is the time between two rounds of runMaintenance.
const maintenanceInterval = 250 * time.Millisecond

// runMaintenance periodically closes unused connections to members, drops expired members and drops the store view's
// cached list once it is old, until ctx ends.
func (h *Host) runMaintenance(ctx context.Context) {
	for pause.For(ctx, maintenanceInterval) {
		for _, g := range h.allGroups() {
			g.maintain()
			g.closeIdleControlConns()
		}
		h.storeView.Trim()
	}
}

func (h *Host) log(event string, fields ...any) {
	_ = h.logger.Log(append([]any{"event", event}, fields...)...)
}

// logFailure logs a failed statement with the state that explains the failure: the configuration's version, the assumed
// primary, the time since it was last confirmed as primary, and the number of statements that wait for a connection of
// the group.
func (h *Host) logFailure(s *Session, r Request, arrived time.Time, f *Failure) {
	fields := []any{
		"request", r.ID, "database", s.database, "code", f.Code, "detail", f.Detail,
		"took_ms", h.now().Sub(arrived).Milliseconds(), "state", s.state,
	}
	fields = append(fields, "config_version", h.configVersion())
	if target, err := s.route(); err == nil {
		fields = append(fields, "account", target.account.Name, "group", target.group.name)
		fields = append(fields, target.group.logFields()...)
		if cause, ok := s.countRefusal(target, f); ok {
			fields = append(fields, "cause", cause)
		}
	}
	if s.origin != nil {
		fields = append(fields, "for", s.origin.from)
	}
	h.log("statement_failed", fields...)
}

// logRefused logs and counts a caller that gets no session, with the age of the store view on which the decision is based.
func (h *Host) logRefused(database string, f *Failure) {
	h.log("caller_refused", "database", database, "code", f.Code, "config_version", h.configVersion(), "news_age_ms", h.storeView.Age().Milliseconds())
	h.metrics.Count(fmt.Sprintf("callers_refused_total{code=%q}", f.Code), 1)
}

// logDeclined logs a forwarded statement that this host did not run because it cannot reach the primary.
func (h *Host) logDeclined(s *Session, r Request, arrived time.Time) {
	fields := []any{"request", r.ID, "database", s.database, "for", s.origin.from, "group", s.origin.group.name,
		"took_ms", h.now().Sub(arrived).Milliseconds()}
	h.log("sent_back", append(fields, s.origin.group.logFields()...)...)
}

// configVersion returns the version of the current configuration, or zero if there is none.
func (h *Host) configVersion() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil {
		return 0
	}
	return h.config.Version
}

// logAttempt logs a failed attempt to run a statement on a member.
func (h *Host) logAttempt(s *Session, r Request, op *operation, member, outcome string, err error) {
	h.log("offer", "request", r.ID, "database", s.database, "group", op.group.name, "member", member,
		"outcome", outcome, "writes", op.writes, "after", op.need.MinPosition, "err", err)
}
