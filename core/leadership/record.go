package leadership

import (
	"slices"

	"pearlatch/core/group"
	"pearlatch/core/kv"
)

// MemberRun is one run of a member, with the data that it has. A member may restart under the same identifier
// without its earlier data.
type MemberRun struct {
	Member string
	// Incarnation distinguishes the runs of a member. It is zero if the member does not report it.
	Incarnation int64
}

// Record is the state that the next holder of a duty needs. It is in the platform's store and outlasts the
// holder that wrote it.
type Record struct {
	// Holder is the host that wrote the record. A new holder writes the record before anything else, so that
	// later writes of its predecessor fail.
	Holder string
	// Epoch is the epoch of the store in which Holder claimed the duty.
	Epoch kv.Epoch
	// Term is the highest term known to the holder in which a member was the primary.
	Term group.Term
	// Members are the members of the group when Floor was determined.
	Members []MemberRun
	// Floor is a log position that the primary reached after the last departure of another member. A successor
	// must have the log up to it. It is zero while none is known.
	Floor group.Position
	// PendingPromotion is the member of a promotion order that may still be executed, or empty. A holder writes
	// it before it sends the order.
	PendingPromotion string
	// HandedBack is true once the holder has given the duty back. It then sends no more promotion orders, not
	// even unrecorded ones.
	HandedBack bool
	// PortionHolders are the hosts that may have shares of accounts' quotas from this holder or earlier ones.
	PortionHolders []string
	// QuotaGranters are those of them that may regard themselves as the granter of these quotas.
	QuotaGranters []string
}

// FloorValidFor reports whether Floor is valid for the current members: all members of the record are still
// there. A member that left could have held writes that only it and the primary had received.
func (r Record) FloorValidFor(current []MemberRun) bool {
	if r.Floor == (group.Position{}) {
		return false
	}
	for _, m := range r.Members {
		if !slices.Contains(current, m) {
			return false
		}
	}
	return true
}

// SameMembers reports whether the record has exactly the current members.
func (r Record) SameMembers(current []MemberRun) bool {
	return len(r.Members) == len(current) && r.FloorValidFor(current)
}
