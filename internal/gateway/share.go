package gateway

import (
	"time"

	"pearlatch/core/pool"
)

// poolBeliefs tells a group's pool what the host believes of the members. The group's lock is held.
type poolBeliefs struct{ g *Group }

var _ pool.View = poolBeliefs{}

// CanServe implements pool.Beliefs.
func (b poolBeliefs) CanServe(id string, n pool.Request, now time.Time) bool {
	m := b.g.members[id]
	return m != nil && b.g.eligible(m, n, now)
}

// Info implements pool.Beliefs.
func (b poolBeliefs) Info(id string, now time.Time) pool.MemberInfo {
	m := b.g.members[id]
	return pool.MemberInfo{SameZone: m.Zone == b.g.zone, Leads: id == b.g.leader, Suspect: now.Before(m.suspectUntil)}
}

// KeepsIdle implements pool.Beliefs.
func (b poolBeliefs) KeepsIdle(id string, now time.Time) bool {
	m := b.g.members[id]
	return m != nil && (m.usable(now) || id == b.g.leader && !m.gone)
}

// Share implements pool.Beliefs.
func (b poolBeliefs) Share(id string) int { return b.g.shareOf(b.g.members[id]) }

// MayExceedShare implements pool.Beliefs.
func (b poolBeliefs) MayExceedShare() bool { return !b.g.plan.ServedByOthers }

// Alive implements pool.Beliefs.
func (b poolBeliefs) Alive(c *pool.Conn) bool { return b.g.links[c].conn.Alive() }

// eligible reports whether the member may serve the need now.
func (g *Group) eligible(m *member, n pool.Request, now time.Time) bool {
	if n.PrimaryOnly {
		return m.ID == g.leader && m.mayLead(now, g.drainBound)
	}
	return m.usable(now) && !m.lacking(n.MinPosition, now)
}

// shareOf is the host's share of the member's connections. A host that does not serve the group
// has one of the replicas of its availability zone.
func (g *Group) shareOf(m *member) int {
	switch {
	case g.plan.ServedByOthers && g.isNear(m):
		return max(g.plan.LocalReadConnections, g.share())
	case g.pooled() && !g.plan.ServedByOthers && m.ID != g.leader:
		return max(g.share()-g.plan.ReservedReadConnections, 1)
	}
	return g.share()
}

// share is the host's equal share of a member's connections. Two are set apart for
// the holder of the group's duty, and one that follows it. A host that does not serve
// the group has none, or one while it can't reach those that do.
func (g *Group) share() int {
	switch {
	case !g.plan.ServedByOthers || g.deputy(g.now()):
		return max(1, (g.connections-controlShare)/max(1, g.hosts))
	case g.strays():
		return 1
	}
	return 0
}
