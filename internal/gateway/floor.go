package gateway

import (
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

// left records that a replica may have gone with its log.
func (g *Group) left(at time.Time) {
	g.departed, g.departedRevision = laterTime(g.departed, at), kv.Revision(g.revision.Load())
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// floorValid reports whether the floor covers all members that have left, and those that are
// missing: they may have left. One that is back under the same birth took nothing along, so that
// entries which lapsed while the store was away cost no more than that.
func (g *Group) floorValid() bool {
	if g.floor == (group.Position{}) || !g.floorAt.After(g.departed) {
		return false
	}
	for _, m := range g.order {
		if left := m.mayHaveLeft(); !left.IsZero() && !g.floorAt.After(left) {
			return false
		}
	}
	return true
}

// missedPrimaries counts members as replicas that the platform lost sight of while they led:
// since another one leads, they have acknowledged for that one.
func (g *Group) missedPrimaries(leader string) {
	for _, m := range g.missing() {
		if m.ID != leader {
			m.missedLeading = false
		}
	}
}

// complete reports whether a log that ends at p holds everything that members
// acknowledged which have left since.
func (g *Group) complete(p group.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.floorValid() && p.Compare(g.floor) >= 0
}

// adoptFloor takes over what the record of an earlier holder says of the log that a
// successor must have.
func (g *Group) adoptFloor(r leadership.Record, revision kv.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inherited, g.inheritedRevision = r, revision
	g.tryAdopt()
}

// tryAdopt adopts the inherited floor once all its members are listed, unless one has left since.
func (g *Group) tryAdopt() {
	if g.inheritedRevision == 0 || g.departedRevision >= g.inheritedRevision || g.floorValid() || !g.inherited.Covers(g.lifetimes()) {
		return
	}
	for _, m := range g.order {
		if !m.mayHaveLeft().IsZero() {
			return
		}
	}
	g.floor, g.floorAt = g.inherited.Floor, g.now()
	g.log("floor_adopted", "position", g.floor, "revision", g.inheritedRevision)
	g.inheritedRevision = 0
}

// lifetimes returns the members that are listed.
func (g *Group) lifetimes() []leadership.Lifetime {
	var out []leadership.Lifetime
	for _, m := range g.order {
		if m.missingSince.IsZero() && !m.gone {
			out = append(out, leadership.Lifetime{Member: m.ID, Born: m.Born})
		}
	}
	return out
}

// successorNeeds returns what a successor of the primary must hold, as it is to be
// recorded, or false while that is not known.
func (g *Group) successorNeeds() (leadership.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return leadership.Record{Term: g.leaderTerm, Members: g.lifetimes(), Floor: g.floor}, g.floorValid() && len(g.missing()) == 0
}

// missing returns the members that the platform has lost sight of.
func (g *Group) missing() []*member {
	var out []*member
	for _, m := range g.order {
		if !m.missingSince.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// renewed records that a primary leads which was chosen among the members listed at
// some time: its log then held whatever members had acknowledged that left before.
func (g *Group) renewed(c successorChoice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.held != (group.Position{}) && g.departed.Before(c.listed) {
		g.floor, g.floorAt = c.held, c.listed
	}
}
