package leadership

import (
	"time"

	"pearlatch/core/group"
)

// Lease is a host's right to treat a member as the primary: no other member is the primary before Until. The
// zero Lease covers nothing.
type Lease struct {
	// Member is the primary, and Term the term in which it leads.
	Member string
	Term   group.Term
	// WritesOnly is true during a switchover. Writes that the member acknowledges are kept, since only the
	// switchover target receives them. The target may become the primary at any moment, so reads from the member
	// may be stale.
	WritesOnly bool
	// From is when the host requested the first lease of an unbroken sequence, and Until when the last one ends,
	// by the clock of the host that has the lease.
	From, Until time.Time
}

// CoversReads reports whether the lease is a full one on the member and valid at the given time. The log of the
// member then holds every write that was acknowledged before that time.
func (l Lease) CoversReads(member string, at time.Time) bool {
	return !l.WritesOnly && l.CoversWrites(member, at)
}

// CoversWrites reports whether the lease is one of either kind on the member and valid at the given time. Writes
// that the member has acknowledged by then are kept.
func (l Lease) CoversWrites(member string, at time.Time) bool {
	return member != "" && l.Member == member && !at.Before(l.From) && at.Before(l.Until)
}

// Downgraded returns the lease restricted to writes.
func (l Lease) Downgraded() Lease {
	l.WritesOnly = true
	return l
}

// Extend returns the lease after next was granted. If next continues l, the result starts at l.From; otherwise
// it is next. The start of next is the time of the request. The coordinator counts from the arrival of the
// request, so the lease ends on this host before it ends for the coordinator.
func (l Lease) Extend(next Lease) Lease {
	if l.Member != next.Member || l.Term != next.Term || l.WritesOnly != next.WritesOnly || next.From.After(l.Until) {
		return next
	}
	next.From = l.From
	if l.Until.After(next.Until) {
		next.Until = l.Until
	}
	return next
}
