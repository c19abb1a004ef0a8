package upstream

import (
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

//go:generate go tool stringer -type=Phase -linecomment -output=phase_string.go

// Phase is the phase of an owner's life cycle.
type Phase int

// The phases.
const (
	// Starting means that the owner does not lead the group yet.
	Starting Phase = iota // starting
	// Serving means that the owner holds the owner lock on the primary.
	Serving // serving
	// Switching means that work for the primary is held back during a planned
	// switchover.
	Switching // switching
	// Promoting means that the owner is promoting a member.
	Promoting // promoting
	// HandingOver means that another owner takes over the group while the last
	// transactions of this owner end.
	HandingOver // handing
	// Stopped means that the owner has closed its connections.
	Stopped // stopped
)

// view is the owner's view of the group at one time. It is immutable.
type view struct {
	phase Phase
	// primary is the index of the primary, or group.NoMember.
	primary int
	term    group.Term
	// successor is the replica that is likely to be promoted while a promotion is in
	// progress, and group.NoMember otherwise.
	successor int
	// floor is the lowest position that the reads of a session that may have written
	// must have.
	floor group.Position
	// leaseUntil is when the owner's lease ends, and with it all answers that depend
	// on the lease.
	leaseUntil time.Time
	// confirmedAt is the time as of which a majority last confirmed the term.
	confirmedAt time.Time
	members     []memberView
}

// memberView is the owner's view of a member.
type memberView struct {
	replica freshness.Replica
	// follows is true for a replica in the primary's term.
	follows bool
	// present is true while the member answers probes.
	present bool
	// leaving is true if the member must get no new work.
	leaving bool
}

// canServe reports whether member i is a replica that can serve a read with the
// required freshness.
func (v *view) canServe(i int, need freshness.Requirement, now time.Time) bool {
	m := &v.members[i]
	return i != v.primary && m.present && m.follows && !m.leaving && need.SatisfiedBy(m.replica, now)
}

// canSendToPrimary reports whether work may be sent to the primary.
func (v *view) canSendToPrimary() bool { return v.phase == Serving && v.primary != group.NoMember }

// canConfirmWrites reports whether a write sent now is expected to be confirmed: the
// last confirmation is at most maxAge old.
func (v *view) canConfirmWrites(now time.Time, maxAge time.Duration) bool {
	return v.canSendToPrimary() && now.Sub(v.confirmedAt) <= maxAge
}
