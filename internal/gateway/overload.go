package gateway

import (
	"context"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
	"pearlatch/core/pool"
)

// detectOverload reports whether the primary is overloaded and to be replaced in a switchover. The load that it observes
// includes the statements that have had to wait since its last call.
func (w *groupMonitor) detectOverload(primary controlResult, replicas []controlResult) bool {
	load := w.group.primaryLoad(replicas)
	load.Running, load.Slots = primary.status.Running, primary.member.Slots
	if load.Interruption = w.interruptions.Remaining(0); load.Interruption == 0 {
		load.Interruption = leadership.PromotionDelay
	}
	if !w.overloadDetector.Observe(load, w.host.now()) || w.predecessorMayAct() {
		return false
	}
	w.log("primary_relieved", "member", primary.member.ID, "running", load.Running, "waited", load.Waits,
		"forecast_ms", load.Interruption.Milliseconds(), "answers", formatResults(replicas))
	return true
}

// relieve replaces an overloaded primary.
func (w *groupMonitor) relieve(ctx context.Context, primary controlResult, replicas []controlResult) {
	if !w.switchOver(ctx, primary, replicas) {
		w.overloadDetector.Abandon(w.host.now())
	}
}

// relieveOccupiedPrimary replaces an overloaded primary that is too busy for probes but has answered statements in this
// round, the last one with the position.
func (w *groupMonitor) relieveOccupiedPrimary(ctx context.Context, position group.Position, answers []controlResult) {
	primary, replicas := splitPrimary(w.primary.ID, answers)
	if !isOccupied(primary.err) || position == (group.Position{}) || w.leasedPrimary() != w.primary.ID || w.pendingPromotion() != "" || !w.promotionsSettled() || !w.tokenCurrent() {
		return
	}
	primary.status.Running, primary.status.Received = primary.member.Slots, position
	if w.detectOverload(primary, replicas) {
		w.relieve(ctx, primary, replicas)
	}
}

// primaryLoad returns the load that this host's statements show: how far they can use the replicas that answered as given,
// and how many statements have had to wait since the last call.
func (g *Group) primaryLoad(replicas []controlResult) group.PrimaryLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := group.PrimaryLoad{Waits: g.waitCount, LastSwitchover: g.switchoverAt}
	g.waitCount = 0
	if g.maxStaleness <= 0 {
		return out
	}
	now := g.now()
	for _, r := range replicas {
		m := g.members[r.member.ID]
		out.Replicas = append(out.Replicas, group.ReplicaUse{
			Member: r.member.ID, Lagging: r.err == nil && r.status.Lag > g.maxStaleness, MayLead: r.err == nil && !r.member.Leaving,
			Failed: r.err != nil && !isOccupied(r.err) || m == nil || !g.replicaUsable(m, now),
			Behind: m != nil && now.Sub(m.behindAt) <= lagHealthWindow,
		})
	}
	return out
}

// replicaUsable reports whether callers' statements use the replica while it does not lag. g.mu must be held.
func (g *Group) replicaUsable(m *member, now time.Time) bool {
	return m.usable(now) && !now.Before(m.suspectUntil)
}

// lacksReplicas reports whether statements wait while a replica can't be used, so that the primary may be overloaded. g.mu
// must be held.
func (g *Group) lacksReplicas(now time.Time) bool {
	if now.Sub(g.lastQueuedAt) > lagHealthWindow {
		return false
	}
	unusable := now.Sub(g.replicaLaggedAt) <= lagHealthWindow
	for _, m := range g.sortedMembers {
		unusable = unusable || m.ID != g.primaryID && g.maxStaleness > 0 && !g.replicaUsable(m, now)
	}
	return unusable
}

// earlyRefusalLogInterval is the minimum time between two log lines about statements that were refused early: one for
// each overload of a few seconds.
const earlyRefusalLogInterval = 10 * time.Second

// noteRefusedEarly counts a statement that was refused since it could not be served in time. g.mu must be held.
func (g *Group) noteRefusedEarly(r pool.ConnRequest) {
	g.metrics.EarlyRefusal(g.name)
	now := g.now()
	if now.Sub(g.refusalLoggedAt) < earlyRefusalLogInterval {
		return
	}
	g.refusalLoggedAt = now
	_, rate := g.pool.Backlog(r, now)
	g.log("statements_refused_early", "waiting", g.pool.Waiting(), "primary_only", r.PrimaryOnly, "served_per_second", int(rate))
}
