package freshness

import (
	"time"

	"pearlatch/core/group"
)

// Requirement is what a read requires of the member that answers it.
type Requirement struct {
	// Class is the freshness class of the route.
	Class Class
	// Position is the position that the member must have replayed, or zero for a
	// session that is known never to have written. It is the higher of the
	// session's mark and a position that includes every write acknowledged under
	// earlier owners.
	Position group.Position
}

// EstimateWait estimates from the replica's lag how long the replica takes to
// meet the requirement. reachedAt is the result of PositionHistory.ReachedAt
// for the required position; if it is zero, the estimate is zero. EstimateWait
// returns false if waiting is not expected to help: the class is Latest, the
// replica's lag is unknown, or the lag alone exceeds the age that the class
// accepts.
func (req Requirement) EstimateWait(r Replica, reachedAt, now time.Time) (time.Duration, bool) {
	if r.AsOf.IsZero() {
		return 0, false
	}
	lag := now.Sub(r.AsOf)
	switch c := req.Class.(type) {
	case Latest:
		return 0, false
	case MaxAge:
		if lag > c.Age {
			return 0, false
		}
	}
	if reachedAt.IsZero() || req.Position.Compare(r.Position) <= 0 {
		return 0, true
	}
	return max(0, reachedAt.Add(lag).Sub(now)), true
}

// Replica is the known state of a replica.
type Replica struct {
	// Position is the position that the replica has replayed, in the primary's
	// term.
	Position group.Position
	// AsOf is the result of PositionHistory.AsOf for Position.
	AsOf time.Time
}

// SatisfiedBy reports whether the replica may answer the read at the given
// time.
func (req Requirement) SatisfiedBy(r Replica, now time.Time) bool {
	if req.Position.Compare(r.Position) > 0 {
		return false
	}
	switch c := req.Class.(type) {
	case Latest:
		return false
	case OwnWrites:
		return true
	case MaxAge:
		return !r.AsOf.IsZero() && now.Sub(r.AsOf) <= c.Age
	}
	return false
}
