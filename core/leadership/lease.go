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
	// Target is the only member that may be promoted before Until, or empty if none may be. With a target, the lease
	// covers no reads, and a write that the primary has acknowledged is kept only if the target has received it. The
	// target is the primary itself while the coordinator hands its role back.
	Target string
	// From is when the host requested the first lease of an unbroken sequence, and Until when the last one ends,
	// by the clock of the host that has the lease.
	From, Until time.Time
}

// CoversReads reports whether the lease is a full one on the member and valid at the given time. The log of the
// member then holds every write that was acknowledged before that time.
func (l Lease) CoversReads(member string, at time.Time) bool {
	return l.Target == "" && l.covers(member, at)
}

// covers reports whether the lease is one of either kind on the member and valid at the given time.
func (l Lease) covers(member string, at time.Time) bool {
	return member != "" && l.Member == member && !at.Before(l.From) && at.Before(l.Until)
}

// Restricted returns the lease under which the target may be promoted.
func (l Lease) Restricted(target string) Lease {
	l.Target = target
	return l
}

// Extend returns the lease after next was granted. If next continues l, the result starts at l.From; otherwise
// it is next. The start of next is the time of the request. The coordinator counts from the arrival of the
// request, so the lease ends on this host before it ends for the coordinator.
func (l Lease) Extend(next Lease) Lease {
	if l.Member != next.Member || l.Term != next.Term || l.Target != next.Target || next.From.After(l.Until) {
		return next
	}
	next.From = l.From
	if l.Until.After(next.Until) {
		next.Until = l.Until
	}
	return next
}
