package gateway

import (
	"context"
	"time"

	"pearlatch/core/pool"
)

// localReplicaWait is how long a read waits for a connection to the replica of its own availability
// zone: about as long as it takes to open one, or to pass the read on.
const localReplicaWait = 15 * time.Millisecond

// near reports whether a read that others would serve is better run here, on the replica of
// this availability zone: without a hop between hosts and between zones, and without anybody
// who may be gone. The replica must be fresh enough, well, and not at its limit.
func (g *Group) near(n pool.Need) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if n.Primary || g.plan.Near == 0 || !g.plan.Elsewhere || g.deputy(now) {
		return false
	}
	for _, m := range g.order {
		if g.isNear(m) && g.eligible(m, n, now) && !now.Before(m.suspectUntil) && g.pool.Ready(m.conns, n.Account, now) {
			return true
		}
	}
	return false
}

// hasNear reports whether this host may keep connections to replicas of its availability zone.
func (g *Group) hasNear() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan.Near > 0
}

// isNear reports whether the member is a replica of this host's availability zone.
func (g *Group) isNear(m *member) bool { return m.Zone == g.zone && m.ID != g.leader }

// runNear runs a read on the replica of this availability zone. It returns false if that did
// not answer, and the read is to be passed on.
func (s *Session) runNear(ctx context.Context, r Request, w *operation) (Reply, bool) {
	if !w.group.hasNear() {
		return Reply{}, false // nor is the primary's position to be asked for
	}
	local := *w
	local.passOn = false
	local.require(s.mark)
	if !w.group.near(local.need) {
		return Reply{}, false
	}
	local.need.Deadline = w.group.now().Add(localReplicaWait)
	p, err := w.group.acquire(ctx, local.need)
	if err != nil {
		return Reply{}, false
	}
	reply, next := s.try(r, &local, p)
	if next != nil {
		s.host.meters.near(w.group.name, next.reason())
		return Reply{}, false
	}
	s.host.meters.near(w.group.name, "served")
	return reply, true
}
