package gateway

import (
	"context"
	"time"

	"pearlatch/core/pool"
)

// localReplicaTimeout is how long a read waits for a connection to a local replica: about as long as it takes to
// open one, or to forward the read.
const localReplicaTimeout = 15 * time.Millisecond

// canReadLocally reports whether a read that would be forwarded should run on a local replica instead. This saves a
// hop between hosts and between availability zones, and avoids a host that may have failed. The replica must be
// fresh enough, not suspect, and below its connection limit.
func (g *Group) canReadLocally(need pool.ConnRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if need.PrimaryOnly || g.plan.LocalReadConnections == 0 || !g.plan.ServedByOthers || g.isFallback(now) {
		return false
	}
	for _, m := range g.sortedMembers {
		if g.isLocalReplica(m) && g.eligible(m, need, now) && !now.Before(m.suspectUntil) && g.pool.Available(m.poolMember, need.Account, now) {
			return true
		}
	}
	return false
}

// hasLocalReplicas reports whether this host may keep connections to local replicas of a group that others serve.
func (g *Group) hasLocalReplicas() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan.LocalReadConnections > 0
}

// isLocalReplica reports whether the member is a replica in this host's availability zone. g.mu must be held.
func (g *Group) isLocalReplica(m *member) bool { return m.Zone == g.zone && m.ID != g.primaryID }

// runOnLocalReplica runs a read on a local replica. It returns false if the read did not succeed there and must be
// forwarded.
func (s *Session) runOnLocalReplica(ctx context.Context, r Request, op *operation) (Reply, bool) {
	if !op.group.hasLocalReplicas() {
		return Reply{}, false // before setRequirements, which marks the primary as needed and so requests its position
	}
	local := *op
	local.shouldForward = false
	local.setRequirements(s.lastWrite)
	if !op.group.canReadLocally(local.need) {
		return Reply{}, false
	}
	local.need.Deadline = op.group.now().Add(localReplicaTimeout)
	p, err := op.group.acquireConn(ctx, local.need)
	if err != nil {
		return Reply{}, false
	}
	reply, next := s.attempt(r, &local, p)
	if next != nil {
		s.host.metrics.LocalRead(op.group.name, next.reason())
		return Reply{}, false
	}
	s.host.metrics.LocalRead(op.group.name, "served")
	return reply, true
}
