package leadership

import (
	"time"

	"pearlatch/core/group"
)

// Lease is a host's right to take a member for the primary: no other member leads
// before Until. The zero Lease covers nothing.
type Lease struct {
	// Member is the primary, and Term the one in which it leads.
	Member string
	Term   group.Term
	// WritesOnly is true in a planned change of primary: what the member acknowledges is
	// kept, since its heir alone receives it, but the heir may lead at any moment, so that
	// what the member answers to reads may be old.
	WritesOnly bool
	// From is when the first of an unbroken row of leases was asked for, and Until when
	// the last one ends, on the clock of the host that holds them.
	From, Until time.Time
}

// CoversReads reports whether the lease is one on the member and holds at the given time. What
// the member's log holds at that time includes everything that was acknowledged before.
func (l Lease) CoversReads(member string, at time.Time) bool {
	return !l.WritesOnly && l.CoversWrites(member, at)
}

// CoversWrites reports whether the lease is one on the member, of either kind, and holds at the
// given time. What the member has acknowledged by then stays.
func (l Lease) CoversWrites(member string, at time.Time) bool {
	return member != "" && l.Member == member && !at.Before(l.From) && at.Before(l.Until)
}

// Downgraded returns the lease after the holder took back all but the right to write.
func (l Lease) Downgraded() Lease {
	l.WritesOnly = true
	return l
}

// Extend returns the lease after next was granted. From is then when that was asked for: the
// holder counts from when the question arrived, so the lease ends here first.
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
