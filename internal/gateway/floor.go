package gateway

import (
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

// noteDeparture records that at the given time a member may have left the group together with its log, or lost its log. It
// may have held the only other copy of what it acknowledged. g.mu must be held.
func (g *Group) noteDeparture(at time.Time) {
	g.departedAt, g.departedRevision = laterTime(g.departedAt, at), kv.Revision(g.knownRevision.Load())
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// floorValid reports whether the floor is a lower bound for the log of a successor: a log that contains it contains
// everything acknowledged by members that have left, or that are missing and may have left. A member that is back in the
// same incarnation has lost nothing, so entries that expire while the store is down make the floor invalid only until they
// are back. g.mu must be held.
func (g *Group) floorValid() bool {
	if g.floor == (group.Position{}) || !g.floorAt.After(g.departedAt) {
		return false
	}
	for _, m := range g.sortedMembers {
		if leftAt := m.possiblyLeftAt(); !leftAt.IsZero() && !g.floorAt.After(leftAt) {
			return false
		}
	}
	return true
}

// treatMissingPrimariesAsReplicas is called when another member becomes the primary. From then on, members that went
// missing as primary count as missing replicas: they may have acknowledged writes of the new primary. g.mu must be held.
func (g *Group) treatMissingPrimariesAsReplicas(primary string) {
	for _, m := range g.missingMembers() {
		if m.ID != primary {
			m.missingAsPrimary = false
		}
	}
}

// coversDeparted reports whether a log that ends at p is known to hold everything acknowledged by members that have
// left.
func (g *Group) coversDeparted(p group.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.floorValid() && p.Compare(g.floor) >= 0
}

// inheritFloor keeps the record of an earlier coordinator, written at the revision, and adopts its floor as soon as that is
// possible.
func (g *Group) inheritFloor(r leadership.Record, revision kv.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inheritedRecord, g.inheritedRevision = r, revision
	g.tryAdoptFloor()
}

// tryAdoptFloor adopts the floor of the inherited record once all members of the record are listed, unless a member has
// left since the record was written. g.mu must be held.
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

// listedIncarnations returns the incarnations of the listed members. g.mu must be held.
func (g *Group) listedIncarnations() []leadership.MemberRun {
	var out []leadership.MemberRun
	for _, m := range g.sortedMembers {
		if m.missingSince.IsZero() && !m.dropped {
			out = append(out, leadership.MemberRun{Member: m.ID, Incarnation: m.Incarnation})
		}
	}
	return out
}

// runs returns the incarnations of the listed members.
func (g *Group) runs() []leadership.MemberRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listedIncarnations()
}

// successorRequirements returns the record's term, members and floor, which say what a successor of the primary must hold,
// or false while they are not known for certain.
func (g *Group) successorRequirements() (leadership.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return leadership.Record{Term: g.primaryTerm, Members: g.listedIncarnations(), Floor: g.floor}, g.floorValid() && len(g.missingMembers()) == 0
}

// missingMembers returns the members that the platform no longer lists but that may still be running. g.mu must be held.
func (g *Group) missingMembers() []*member {
	var out []*member
	for _, m := range g.sortedMembers {
		if !m.missingSince.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// renewFloor sets the floor after the promotion of a chosen successor. When the successor was chosen, its log held
// everything acknowledged by members that had left by then. The floor stays as it is if the basis of the choice is not
// known or a member has left since the members were listed.
func (g *Group) renewFloor(c successorChoice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.received != (group.Position{}) && g.departedAt.Before(c.listedAt) {
		g.floor, g.floorAt = c.received, c.listedAt
	}
}
