package gateway

import (
	"time"

	"pearlatch/core/pool"
)

// poolView implements pool.View on a Group. Group.mu must be held.
type poolView struct{ g *Group }

var _ pool.View = poolView{}

// CanServe implements pool.View.
func (v poolView) CanServe(id string, r pool.ConnRequest, now time.Time) bool {
	m := v.g.members[id]
	return m != nil && v.g.eligible(m, r, now)
}

// Info implements pool.View.
func (v poolView) Info(id string, now time.Time) pool.MemberInfo {
	m := v.g.members[id]
	return pool.MemberInfo{SameZone: m.Zone == v.g.zone, IsPrimary: id == v.g.primaryID, Suspect: now.Before(m.suspectUntil)}
}

// KeepsIdle implements pool.View.
func (v poolView) KeepsIdle(id string, now time.Time) bool {
	m := v.g.members[id]
	return m != nil && (m.usable(now) || id == v.g.primaryID && !m.dropped)
}

// Share implements pool.View.
func (v poolView) Share(id string) int { return v.g.shareOf(v.g.members[id]) }

// MayExceedShare implements pool.View.
func (v poolView) MayExceedShare() bool { return !v.g.plan.ServedByOthers }

// Alive implements pool.View.
func (v poolView) Alive(c *pool.Conn) bool { return v.g.conns[c].conn.Alive() }

// eligible reports whether the member may serve the request now. g.mu must be held.
func (g *Group) eligible(m *member, r pool.ConnRequest, now time.Time) bool {
	if r.PrimaryOnly {
		return m.ID == g.primaryID && m.mayServeAsPrimary(now, g.maxDrain)
	}
	return m.usable(now) && !m.lacks(r.MinPosition, now)
}

// shareOf returns the host's share of the member's connections. A host that does not serve the group
// has a share of the local replicas. g.mu must be held.
func (g *Group) shareOf(m *member) int {
	switch {
	case g.plan.ServedByOthers && g.isLocalReplica(m):
		return max(g.plan.LocalReadConnections, g.share())
	case g.hasDedicatedServers() && !g.plan.ServedByOthers && m.ID != g.primaryID:
		return max(g.share()-g.plan.ReservedReadConnections, 1)
	}
	return g.share()
}

// share returns the host's equal share of a member's connections. Two of them are reserved for control
// commands: one for the coordinator and one for its successor. A host that does not serve the group has
// no share, or one connection while it can't reach the serving hosts. g.mu must be held.
func (g *Group) share() int {
	switch {
	case !g.plan.ServedByOthers || g.isFallback(g.now()):
		return max(1, (g.maxConnections-reservedControlConns)/max(1, g.hostCount))
	case g.isIsolated():
		return 1
	}
	return 0
}
