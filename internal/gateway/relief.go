package gateway

import "pearlatch/core/group"

// relieves reports whether the group is better off with another primary.
func (w *groupMonitor) relieves(primary controlResult, replicas []controlResult) bool {
	age := w.group.shortestAge()
	lagging := len(replicas) > 0 && age > 0
	for _, r := range replicas {
		lagging = lagging && r.err == nil && r.status.Lag > age
	}
	waits := w.group.waits()
	load := group.Load{Lagging: lagging, Running: primary.status.Running, Slots: primary.member.Slots, Waited: waits - w.waits}
	w.waits = waits
	if !w.relief.Observe(load, w.host.now()) {
		return false
	}
	w.log("primary_relieved", "member", primary.member.ID, "running", load.Running, "waited", load.Waited, "answers", formatResults(replicas))
	return true
}

// waits returns how many statements have had to wait for a connection.
func (g *Group) waits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waited
}
