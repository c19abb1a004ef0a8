package leadership

import (
	"slices"

	"pearlatch/core/group"
	"pearlatch/core/kv"
)

// MemberRun is one run of a member. A member may restart under the same identifier without its earlier data.
type MemberRun struct {
	Member string
	// Incarnation distinguishes the runs of a member. It is zero if the member does not report it.
	Incarnation int64
}

// Record is the state that the next coordinator of a group needs. It is in the platform's store and outlasts the
// coordinator that wrote it.
type Record struct {
	// Holder is the coordinator that wrote the record. A new coordinator writes the record before anything else,
	// so that later writes of its predecessor fail.
	Holder string
	// Epoch is the epoch of the store in which Holder claimed the role.
	Epoch kv.Epoch
	// Term is the highest term known to Holder in which a member was the primary.
	Term group.Term
	// Members are the members of the group when Floor was determined.
	Members []MemberRun
	// Floor is a log position that the primary reached after the last departure of another member. A new primary
	// must have the log up to it. It is zero while none is known.
	Floor group.Position
	// PendingPromotion is the member of a promotion order that may still be executed, or empty. A coordinator
	// writes it before it sends the order.
	PendingPromotion string
	// HandedBack is true once Holder has handed the role back. From then on it sends no promotion orders, whether
	// recorded or not.
	HandedBack bool
	// PortionHolders are the hosts that may hold portions of accounts' quotas from this coordinator or earlier
	// ones.
	PortionHolders []string
	// ReserveHolders are those PortionHolders that may hold reserves, which are larger than other portions. A coordinator
	// writes a host here before it grants it a reserve. Nil means that any of the PortionHolders may hold one.
	ReserveHolders []string
	// QuotaGranters are those PortionHolders that may regard themselves as the granter of these quotas.
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
