package freshness

import (
	"time"

	"pearlatch/core/group"
)

// Requirement is what a read asks of the member that answers it.
type Requirement struct {
	// Class is the route's class.
	Class Class
	// Position is what the member must have replayed: the higher of the
	// session's mark and the owner's floor, or zero for a session that is known
	// never to have written.
	Position group.Position
}

// EstimateWait predicts how long the replica takes until it may answer the read, from how
// far it is behind. reached is what Ages.Reached returns for n.Position. It returns
// false when no wait helps, as far as that tells: the replica's lag alone exceeds
// the age that the class accepts, or is not known.
func (n Requirement) EstimateWait(r Replica, reached, now time.Time) (time.Duration, bool) {
	if r.AsOf.IsZero() {
		return 0, false
	}
	lag := now.Sub(r.AsOf)
	switch c := n.Class.(type) {
	case Latest:
		return 0, false
	case MaxAge:
		if lag > c.Age {
			return 0, false
		}
	}
	if reached.IsZero() || n.Position.Compare(r.Position) <= 0 {
		return 0, true
	}
	return max(0, reached.Add(lag).Sub(now)), true
}

// Replica is what is known of a replica.
type Replica struct {
	// Position is what the replica has replayed, in the primary's term.
	Position group.Position
	// AsOf is what Ages.AsOf returns for Position.
	AsOf time.Time
}

// SatisfiedBy reports whether the replica may answer a read at the given time.
func (n Requirement) SatisfiedBy(r Replica, now time.Time) bool {
	if n.Position.Compare(r.Position) > 0 {
		return false
	}
	switch c := n.Class.(type) {
	case Latest:
		return false
	case OwnWrites:
		return true
	case MaxAge:
		return !r.AsOf.IsZero() && now.Sub(r.AsOf) <= c.Age
	}
	return false
}
