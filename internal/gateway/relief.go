package gateway

import "pearlatch/core/group"

// detectOverload reports whether the primary is overloaded and to be replaced in a switchover.
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
