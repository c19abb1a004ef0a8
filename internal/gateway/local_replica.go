package gateway

import (
	"context"
	"time"

	"pearlatch/core/pool"
)

// localReplicaTimeout is how long a read waits for a connection to the replica of its own availability
// zone: about as long as it takes to open one, or to pass the read on.
const localReplicaTimeout = 15 * time.Millisecond

// canReadLocally reports whether a read that others would serve is better run here, on the replica of
// this availability zone: without a hop between hosts and between zones, and without anybody
// who may be gone. The replica must be fresh enough, well, and not at its limit.
func (g *Group) canReadLocally(n pool.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if n.PrimaryOnly || g.plan.LocalReadConnections == 0 || !g.plan.ServedByOthers || g.isFallback(now) {
		return false
	}
	for _, m := range g.sortedMembers {
		if g.isLocalReplica(m) && g.eligible(m, n, now) && !now.Before(m.suspectUntil) && g.pool.Available(m.poolMember, n.Account, now) {
			return true
		}
	}
	return false
}

// hasLocalReplicas reports whether this host may keep connections to replicas of its availability zone.
func (g *Group) hasLocalReplicas() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan.LocalReadConnections > 0
}

// isLocalReplica reports whether the member is a replica of this host's availability zone.
func (g *Group) isLocalReplica(m *member) bool { return m.Zone == g.zone && m.ID != g.primaryID }

// runOnLocalReplica runs a read on the replica of this availability zone. It returns false if that did
// not answer, and the read is to be passed on.
func (s *Session) runOnLocalReplica(ctx context.Context, r Request, w *operation) (Reply, bool) {
	if !w.group.hasLocalReplicas() {
		return Reply{}, false // nor is the primary's position to be asked for
	}
	local := *w
	local.servedElsewhere = false
	local.setRequirements(s.lastWrite)
	if !w.group.canReadLocally(local.need) {
		return Reply{}, false
	}
	local.need.Deadline = w.group.now().Add(localReplicaTimeout)
	p, err := w.group.acquire(ctx, local.need)
	if err != nil {
		return Reply{}, false
	}
	reply, next := s.attempt(r, &local, p)
	if next != nil {
		s.host.metrics.localRead(w.group.name, next.reason())
		return Reply{}, false
	}
	s.host.metrics.localRead(w.group.name, "served")
	return reply, true
}
