package gateway

import "pearlatch/core/group"

// shouldRelieve reports whether the group is better off with another primary.
func (w *groupMonitor) shouldRelieve(primary controlResult, replicas []controlResult) bool {
	age := w.group.maxReadStaleness()
	lagging := len(replicas) > 0 && age > 0
	for _, r := range replicas {
		lagging = lagging && r.err == nil && r.status.Lag > age
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

// totalWaits returns how many statements have had to wait for a connection.
func (g *Group) totalWaits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waitCount
}
