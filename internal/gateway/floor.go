package gateway

import (
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

// noteDeparture records that a replica may have gone with its log.
func (g *Group) noteDeparture(at time.Time) {
	g.departedAt, g.departedRevision = laterTime(g.departedAt, at), kv.Revision(g.storeRevision.Load())
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
	if g.floor == (group.Position{}) || !g.floorAt.After(g.departedAt) {
		return false
	}
	for _, m := range g.sortedMembers {
		if left := m.possiblyLeftAt(); !left.IsZero() && !g.floorAt.After(left) {
			return false
		}
	}
	return true
}

// treatMissingPrimariesAsReplicas counts members as replicas that the platform lost sight of while they led:
// since another one leads, they have acknowledged for that one.
func (g *Group) treatMissingPrimariesAsReplicas(leader string) {
	for _, m := range g.missingMembers() {
		if m.ID != leader {
			m.missingAsPrimary = false
		}
	}
}

// coversDeparted reports whether a log that ends at p holds everything that members
// acknowledged which have left since.
func (g *Group) coversDeparted(p group.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.floorValid() && p.Compare(g.floor) >= 0
}

// inheritFloor takes over what the record of an earlier holder says of the log that a
// successor must have.
func (g *Group) inheritFloor(r leadership.Record, revision kv.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inheritedRecord, g.inheritedRevision = r, revision
	g.tryAdoptFloor()
}

// tryAdoptFloor adopts the inherited floor once all its members are listed, unless one has left since.
func (g *Group) tryAdoptFloor() {
	if g.inheritedRevision == 0 || g.departedRevision >= g.inheritedRevision || g.floorValid() || !g.inheritedRecord.FloorValidFor(g.listedIncarnations()) {
		return
	}
	for _, m := range g.sortedMembers {
		if !m.possiblyLeftAt().IsZero() {
			return
		}
	}
	g.floor, g.floorAt = g.inheritedRecord.Floor, g.now()
	g.log("floor_adopted", "position", g.floor, "revision", g.inheritedRevision)
	g.inheritedRevision = 0
}

// listedIncarnations returns the members that are listed.
func (g *Group) listedIncarnations() []leadership.Incarnation {
	var out []leadership.Incarnation
	for _, m := range g.sortedMembers {
		if m.missingSince.IsZero() && !m.dropped {
			out = append(out, leadership.Incarnation{Member: m.ID, Born: m.Incarnation})
		}
	}
	return out
}

// successorRequirements returns what a successor of the primary must hold, as it is to be
// recorded, or false while that is not known.
func (g *Group) successorRequirements() (leadership.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return leadership.Record{Term: g.primaryTerm, Members: g.listedIncarnations(), Floor: g.floor}, g.floorValid() && len(g.missingMembers()) == 0
}

// missingMembers returns the members that the platform has lost sight of.
func (g *Group) missingMembers() []*member {
	var out []*member
	for _, m := range g.sortedMembers {
		if !m.missingSince.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// renewFloor records that a primary leads which was chosen among the members listed at
// some time: its log then held whatever members had acknowledged that left before.
func (g *Group) renewFloor(c successorChoice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.received != (group.Position{}) && g.departedAt.Before(c.listedAt) {
		g.floor, g.floorAt = c.received, c.listedAt
	}
}
