package gateway

import (
	"context"
	"slices"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/load"
	"pearlatch/core/membership"
	"pearlatch/core/pool"
	"pearlatch/core/serving"
)

// shouldForward reports whether a statement is to run on another host. If this host is one of those that replace
// unreachable serving hosts, it starts to serve the group as a fallback.
func (h *Host) shouldForward(g *Group) bool {
	if g.servedByOthers() && g.loads.Servers().Fallback {
		g.startFallback()
		return false
	}
	return g.shouldForward()
}

// servedByOthers reports whether other hosts serve the group.
func (g *Group) servedByOthers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan.ServedByOthers
}

// shouldForward reports whether a statement is to run on one of the serving hosts. While none of them is reachable,
// a statement tries them again from time to time.
func (g *Group) shouldForward() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan.ServedByOthers && g.isolation.ShouldTry(g.now())
}

// fallbackTTL is how long a host remains a fallback after the last statement that it served as one.
const fallbackTTL = 2 * time.Second

// overloadRefusal returns a failure with the code if every host that serves the group would refuse the operation, or nil.
func (op *operation) overloadRefusal(code Code) *Failure {
	if !op.shouldForward || op.toHome {
		return nil
	}
	_, latest := op.route.Class.(freshness.Latest)
	k := load.Kind{Rank: op.need.Rank, NeedsPrimary: op.writes || latest}
	comeBack, refused := op.group.loads.Refusal(op.need.Account, k, op.waitUntil())
	if !refused {
		return nil
	}
	// The caller needs at least half of its time for later attempts.
	return op.decide(&Failure{code, "no connection in time on any host that serves the group, " + op.group.bookRetry(op, comeBack)})
}

// loadKind returns the kind of a request for a connection.
func loadKind(r pool.ConnRequest) load.Kind {
	return load.Kind{Rank: r.Rank, NeedsPrimary: r.PrimaryOnly}
}

// loadKind returns the kind of a forwarded request.
func (r *PeerRequest) loadKind() load.Kind {
	return load.Kind{Rank: r.Route.Priority, NeedsPrimary: r.needsPrimary()}
}

// loadReport returns this host's load report for the sender of a statement of the given kind.
func (g *Group) loadReport(k load.Kind) (load.Report, uint64) {
	g.mu.Lock()
	queued := g.pool.Waiting()
	g.mu.Unlock()
	return g.loads.Report(k, queued)
}

// startFallback makes this host a fallback for the group for fallbackTTL, if others serve the group.
func (g *Group) startFallback() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.plan.ServedByOthers {
		return
	}
	now := g.now()
	if !g.isFallback(now) {
		g.log("deputy", "for", g.plan.Ranked[0].ID)
	}
	g.fallbackUntil = now.Add(fallbackTTL)
}

// isFallback reports whether the host serves the group as a fallback. g.mu must be held.
func (g *Group) isFallback(now time.Time) bool {
	return g.plan.ServedByOthers && now.Before(g.fallbackUntil)
}

// alternativeHosts returns the hosts that may reach the primary while this one serves the group and can't reach it.
func (h *Host) alternativeHosts(g *Group) []membership.Host {
	if h.ports.Peers == nil {
		return nil
	}
	return g.loads.Alternatives()
}

// primaryReachTimeout is how long the primary may be silent or unknown until this host reroutes operations to
// alternative hosts. Statements take up to 50 ms.
const primaryReachTimeout = 150 * time.Millisecond

// primaryUnreachable reports whether the primary has been silent or unknown on this host for longer than
// primaryReachTimeout.
func (g *Group) primaryUnreachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryUnreachableLocked()
}

// primaryUnreachableLocked is primaryUnreachable for callers that hold g.mu. It returns false while the primary is
// being replaced, since no other host can reach a primary then.
func (g *Group) primaryUnreachableLocked() bool {
	if g.primaryID == "" && g.primaryBeingReplaced() {
		return false
	}
	since := g.noPrimarySince
	if m := g.members[g.primaryID]; m != nil {
		since = m.silentSince
	}
	return !since.IsZero() && g.now().Sub(since) > primaryReachTimeout
}

// primaryBeingReplaced reports whether the coordinator has begun to replace the primary. g.mu must be held.
func (g *Group) primaryBeingReplaced() bool {
	return slices.ContainsFunc(g.sortedMembers, func(m *member) bool { return m.beingReplaced })
}

// noteServerReached records that a host that serves the group accepted a statement.
func (g *Group) noteServerReached() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolation.Reached()
}

// noteServerUnreached records that a host that serves the group could not be reached, and reports whether this host
// must serve the group itself in the meantime.
func (g *Group) noteServerUnreached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolation.Unreached(g.now())
}

// isIsolated reports whether this host serves the group because none of the serving hosts is reachable. g.mu must be
// held.
func (g *Group) isIsolated() bool { return g.isolation.Isolated(g.now()) }

// servingPlan returns which hosts serve a group. h.mu must be held.
func (h *Host) servingPlan(name string) serving.Plan {
	if h.ports.Peers == nil {
		return serving.Plan{}
	}
	return h.fleet.Plan(name, h.config.Groups[name].Connections-reservedControlConns)
}

// hasDedicatedServers reports whether a few hosts serve the group for all callers. g.mu must be held.
func (g *Group) hasDedicatedServers() bool { return g.plan.DedicatedServers > 0 }

// reroute runs a statement by way of another host, since this one can't reach the primary. It
// declines a forwarded statement instead. It returns false if no host took the statement, which
// then waits here.
func (s *Session) reroute(ctx context.Context, r Request, op *operation) (Reply, bool) {
	if s.declineToOrigin() {
		return failureReply(Busy, errReroute.Error()), true
	}
	op.need.Forwardable = false
	return s.forwardSingle(ctx, r, op)
}

// rerouteInTransaction is reroute for a transaction that has run no statement yet.
func (s *Session) rerouteInTransaction(ctx context.Context, r Request, arrived time.Time) (Reply, bool) {
	if s.declineToOrigin() {
		return s.failTransaction(failureReply(Busy, errReroute.Error())), true
	}
	s.tx.op.need.Forwardable = false
	return s.forwardInTransaction(ctx, r, arrived)
}

// declineToOrigin declines a forwarded statement that has already been accepted, since this host
// can't reach the primary. The host that sent the statement tries others. It returns false for this
// host's own callers.
func (s *Session) declineToOrigin() bool {
	if s.origin == nil {
		return false
	}
	s.origin.declined = true
	return true
}
