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
	// From is when the first of an unbroken row of leases was asked for, and Until when
	// the last one ends, on the clock of the host that holds them.
	From, Until time.Time
}

// Covers reports whether the lease is one on the member and holds at the given time. What
// the member's log holds at that time includes everything that was acknowledged before.
func (l Lease) Covers(member string, at time.Time) bool {
	return member != "" && l.Member == member && !at.Before(l.From) && at.Before(l.Until)
}

// Extend returns the lease after another one was granted for the given time. It was asked
// for at the given time: the holder counts from when the question arrived, so the lease ends
// here first.
func (l Lease) Extend(member string, term group.Term, asked time.Time, granted time.Duration) Lease {
	next := Lease{Member: member, Term: term, From: asked, Until: asked.Add(granted)}
	if l.Member != member || l.Term != term || asked.After(l.Until) {
		return next
	}
	next.From = l.From
	if l.Until.After(next.Until) {
		next.Until = l.Until
	}
	return next
}
