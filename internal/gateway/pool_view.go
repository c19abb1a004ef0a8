package gateway

import (
	"time"

	"pearlatch/core/pool"
)

// poolView tells a group's pool what the host believes of the members. The group's lock is held.
type poolView struct{ g *Group }

var _ pool.View = poolView{}

// CanServe implements pool.Beliefs.
func (b poolView) CanServe(id string, n pool.Request, now time.Time) bool {
	m := b.g.members[id]
	return m != nil && b.g.eligible(m, n, now)
}

// Info implements pool.Beliefs.
func (b poolView) Info(id string, now time.Time) pool.MemberInfo {
	m := b.g.members[id]
	return pool.MemberInfo{SameZone: m.Zone == b.g.zone, Leads: id == b.g.primaryID, Suspect: now.Before(m.suspectUntil)}
}

// KeepsIdle implements pool.Beliefs.
func (b poolView) KeepsIdle(id string, now time.Time) bool {
	m := b.g.members[id]
	return m != nil && (m.usable(now) || id == b.g.primaryID && !m.dropped)
}

// Share implements pool.Beliefs.
func (b poolView) Share(id string) int { return b.g.shareOf(b.g.members[id]) }

// MayExceedShare implements pool.Beliefs.
func (b poolView) MayExceedShare() bool { return !b.g.plan.ServedByOthers }

// Alive implements pool.Beliefs.
func (b poolView) Alive(c *pool.Conn) bool { return b.g.conns[c].conn.Alive() }

// eligible reports whether the member may serve the need now.
func (g *Group) eligible(m *member, n pool.Request, now time.Time) bool {
	if n.PrimaryOnly {
		return m.ID == g.primaryID && m.mayServeAsPrimary(now, g.maxDrain)
	}
	return m.usable(now) && !m.lacks(n.MinPosition, now)
}

// shareOf is the host's share of the member's connections. A host that does not serve the group
// has one of the replicas of its availability zone.
func (g *Group) shareOf(m *member) int {
	switch {
	case g.plan.ServedByOthers && g.isLocalReplica(m):
		return max(g.plan.LocalReadConnections, g.share())
	case g.hasDedicatedServers() && !g.plan.ServedByOthers && m.ID != g.primaryID:
		return max(g.share()-g.plan.ReservedReadConnections, 1)
	}
	return g.share()
}

// share is the host's equal share of a member's connections. Two are set apart for
// the holder of the group's duty, and one that follows it. A host that does not serve
// the group has none, or one while it can't reach those that do.
func (g *Group) share() int {
	switch {
	case !g.plan.ServedByOthers || g.isFallback(g.now()):
		return max(1, (g.maxConnections-reservedControlConns)/max(1, g.hostCount))
	case g.isIsolated():
		return 1
	}
	return 0
}
