package gateway

import (
	"time"

	"pearlatch/core/group"
	"pearlatch/core/pool"
)

// detectOverload reports whether the primary is overloaded and to be replaced in a switchover. The load that it observes
// includes the statements that have had to wait since its last call.
func (w *groupMonitor) detectOverload(primary controlResult, replicas []controlResult) bool {
	maxStaleness := w.group.maxReadStaleness()
	lagging := len(replicas) > 0 && maxStaleness > 0
	for _, r := range replicas {
		lagging = lagging && r.err == nil && r.status.Lag > maxStaleness
	}
	waits := w.group.totalWaits()
	load := group.PrimaryLoad{ReplicasLagging: lagging, Running: primary.status.Running, Slots: primary.member.Slots, Waits: waits - w.lastWaitCount}
	w.lastWaitCount = waits
	if !w.overloadDetector.Observe(load, w.host.now()) {
		return false
	}
	w.log("primary_relieved", "member", primary.member.ID, "running", load.Running, "waited", load.Waits, "answers", formatResults(replicas))
	return true
}

// totalWaits returns how many statements have had to wait for a connection so far.
func (g *Group) totalWaits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waitCount
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
