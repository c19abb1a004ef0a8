package upstream

import (
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

//go:generate go tool stringer -type=Phase -linecomment -output=phase_string.go

// Phase says what an owner is doing.
type Phase int

// The phases.
const (
	// Starting means that the owner does not lead the group yet.
	Starting Phase = iota // starting
	// Serving means that the owner holds the owner lock on the primary.
	Serving // serving
	// Switching means that work for the primary is held for a planned promotion.
	Switching // switching
	// Promoting means that the owner is promoting a member.
	Promoting // promoting
	// HandingOver means that another owner takes the group over while the last
	// transactions here end.
	HandingOver // handing
	// Stopped means that the owner has closed everything.
	Stopped // stopped
)

// view is what the owner knows at one moment. It is immutable.
type view struct {
	phase Phase
	// primary is the index of the primary, or group.NoMember.
	primary int
	term    group.Term
	// successor is the replica that is likely to be promoted, while a promotion
	// is under way, and group.NoMember otherwise.
	successor int
	// floor is what every session that may have written must see.
	floor group.Position
	// leaseUntil is when answers that depend on the ownership stop.
	leaseUntil time.Time
	// confirmedAt is when a majority last confirmed the term.
	confirmedAt time.Time
	members     []memberView
}

// memberView is what the owner knows of a member.
type memberView struct {
	replica freshness.Replica
	// follows is true for a replica in the primary's term.
	follows bool
	// present is true while the member answers probes.
	present bool
	// leaving is true when the member must get no new work.
	leaving bool
}

// canServe reports whether member i is a replica that may serve a read.
func (v *view) canServe(i int, need freshness.Requirement, now time.Time) bool {
	m := &v.members[i]
	return i != v.primary && m.present && m.follows && !m.leaving && need.SatisfiedBy(m.replica, now)
}

// canSendToPrimary reports whether the primary may get work.
func (v *view) canSendToPrimary() bool { return v.phase == Serving && v.primary != group.NoMember }

// canConfirmWrites reports whether a write sent now can expect a confirmation.
func (v *view) canConfirmWrites(now time.Time, patience time.Duration) bool {
	return v.canSendToPrimary() && now.Sub(v.confirmedAt) <= patience
}
