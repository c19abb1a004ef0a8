package leadership

import (
	"slices"

	"pearlatch/core/group"
	"pearlatch/core/kv"
)

// Incarnation is one run of a member with what it holds. A member may start again under
// its identifier and hold nothing of before.
type Incarnation struct {
	Member string
	// Born tells runs of a member apart, or is zero where the member does not say.
	Born int64
}

// Record is what the next holder of a group's duty must know. It lies in the
// platform's store and outlasts the holder that wrote it.
type Record struct {
	// Holder names the host that wrote the record. A holder writes it first of all,
	// so that the writes of its predecessor fail.
	Holder string
	// Epoch is the store's in which Holder took the duty.
	Epoch kv.Epoch
	// Term is the highest one in which a member led, as far as the holder knew.
	Term group.Term
	// Members are those of the group when Floor was taken.
	Members []Incarnation
	// Floor is a position of the primary from after all others had left that have
	// left. It is the zero position while none is known.
	Floor group.Position
	// PendingPromotion names the member of an order that may still be carried out, or is empty.
	// No order is given before it stands here.
	PendingPromotion string
	// HandedBack is true once the holder has given the duty back: it gives no more orders, also
	// none that do not stand here.
	HandedBack bool
	// Grantees are the hosts that may hold portions of accounts' quotas from this holder or earlier ones.
	Grantees []string
	// Granters are the hosts among them that may take themselves for the granter of these quotas.
	Granters []string
}

// FloorValidFor reports whether the record's floor holds for the members of now: none of those
// of then has left, so nobody took along what only it and the primary held.
func (r Record) FloorValidFor(now []Incarnation) bool {
	if r.Floor == (group.Position{}) {
		return false
	}
	for _, m := range r.Members {
		if !slices.Contains(now, m) {
			return false
		}
	}
	return true
}

// SameMembers reports whether the record names exactly these members.
func (r Record) SameMembers(now []Incarnation) bool {
	return len(r.Members) == len(now) && r.FloorValidFor(now)
}
