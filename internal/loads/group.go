package loads

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/load"
	"pearlatch/core/membership"
	"pearlatch/core/serving"
	"pearlatch/internal/fleet"
)

// Group is what a host knows of the servers of a database group and of its own load for the group. Use New to create
// one. Its methods may be called from several goroutines.
type Group struct {
	name   string
	fleet  *fleet.Hosts
	now    func() time.Time
	logger log.Logger
	// registry receives the metrics, or is nil.
	registry metrics.Registry

	mu sync.Mutex
	// plan says which hosts serve the group, and servers holds those to forward statements to.
	plan    serving.Plan
	servers fleet.Versioned[fleet.Servers]
	// table holds the load reports of the servers. loggedAt is when "load_moved" was last logged.
	table    load.Table
	loggedAt time.Time
	// meter measures this host's load.
	meter load.Meter
}

// logInterval is the minimum time between two log lines about statements that go to another server.
const logInterval = 10 * time.Second

// New returns a Group for which no host serves others. The registry may be nil.
func New(name string, hosts *fleet.Hosts, now func() time.Time, logger log.Logger, registry metrics.Registry) *Group {
	return &Group{name: name, fleet: hosts, now: now, logger: logger, registry: registry}
}

// SetPlan sets which hosts serve the group.
func (g *Group) SetPlan(p serving.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plan, g.servers = p, fleet.Versioned[fleet.Servers]{}
}

// Servers returns the hosts to which statements of the group are forwarded.
func (g *Group) Servers() fleet.Servers {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serversLocked()
}

// serversLocked is Servers for callers that hold g.mu. The result is cached until the list of hosts or the set of those
// that answer changes, since every forwarded statement needs it.
func (g *Group) serversLocked() fleet.Servers {
	return g.servers.Get(g.fleet.Version(), func() fleet.Servers { return g.fleet.Servers(g.plan) })
}

// Alternatives returns the hosts that may reach the primary while this one serves the group and can't reach it.
func (g *Group) Alternatives() []membership.Host {
	g.mu.Lock()
	plan := g.plan
	g.mu.Unlock()
	return g.fleet.Alternatives(plan)
}

// HomeElsewhere returns the home server of an account, if this host serves the group too but is not the account's home.
func (g *Group) HomeElsewhere(account string) (home membership.Host, ok bool) {
	if account == "" {
		return membership.Host{}, false
	}
	servers := g.Servers()
	return servers.HomeElsewhere(g.name, account)
}

// Order appends to dst the indices of the servers in the order in which they are tried for a statement of the account,
// which is empty where callers have none.
func (g *Group) Order(dst []int, account string) (fleet.Servers, []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers, moves, now := g.serversLocked(), g.table.Moves(), g.now()
	dst = g.table.Order(dst, servers.Choice(g.name, account, rand.Float64()), now)
	if g.table.Moves() > moves {
		g.count("load_moves_total")
		if now.Sub(g.loggedAt) > logInterval {
			g.loggedAt = now
			_ = g.logger.Log("event", "load_moved", "account", account, "to", servers.Hosts[dst[0]].ID) // nowhere else to report it
		}
	}
	return servers, dst
}

// Refusal reports whether every server would refuse a statement that waits until the given time, and after which time its
// caller should come back.
func (g *Group) Refusal(account string, k load.Kind, until time.Time) (comeBack time.Duration, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers, now := g.serversLocked(), g.now()
	comeBack, refused = g.table.Refusal(servers.Choice(g.name, account, 0), k, until.Sub(now), now)
	if refused {
		g.count("load_refusals_total")
	}
	return comeBack, refused
}

// Record records a load report that a server's process has sent with a reply. Nothing is recorded if the sequence is zero.
func (g *Group) Record(server, process string, sequence uint64, r load.Report) {
	if sequence == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Record(server, process, sequence, r, g.now())
}

// Report returns this host's load report for the sender of a statement of the given kind. queued is the length of the queue.
// The sequence is zero if there is nothing to report.
func (g *Group) Report(k load.Kind, queued int) (r load.Report, sequence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meter.Report(k, queued, g.now())
}

// Enqueued records that a statement has begun to wait on this host.
func (g *Group) Enqueued(k load.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.Enqueued(k, g.now())
}

// Left records that a statement no longer waits on this host. served is true if it got a connection.
func (g *Group) Left(k load.Kind, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.Left(k, served, g.now())
}

// count increments a counter of the group.
func (g *Group) count(name string) {
	if g.registry != nil {
		metrics.GetOrRegisterCounter(fmt.Sprintf("%s{group=%q}", name, g.name), g.registry).Inc(1)
	}
}
