package serving

import "time"

const (
	// isolationTimeout is how long all hosts that serve a group must have been unreachable until another host opens its
	// own connection. When all hosts restart, the serving hosts are unreachable for about that long, and the members'
	// connections must be left to them.
	isolationTimeout = 400 * time.Millisecond
	// isolatedRetryInterval is the time between two statements of an isolated host that try the serving hosts again.
	isolatedRetryInterval = 500 * time.Millisecond
)

// Isolation says whether a host must serve a group itself because it reaches none of the hosts that serve the group.
// The zero value is a host that is not isolated.
type Isolation struct {
	// lostSince is since when none of the serving hosts has been reachable, or zero. triedAt is when a statement was
	// last forwarded to them.
	lostSince, triedAt time.Time
}

// Reached records that a host that serves the group accepted a statement.
func (i *Isolation) Reached() { i.lostSince = time.Time{} }

// Unreached records that a host that serves the group could not be reached, and reports whether this host is isolated.
func (i *Isolation) Unreached(now time.Time) bool {
	if i.lostSince.IsZero() {
		i.lostSince = now
	}
	return i.Isolated(now)
}

// Isolated reports whether none of the serving hosts has been reachable for longer than isolationTimeout.
func (i *Isolation) Isolated(now time.Time) bool {
	return !i.lostSince.IsZero() && now.Sub(i.lostSince) > isolationTimeout
}

// ShouldTry reports whether a statement is to be forwarded to the serving hosts, and records that it is. Of an isolated
// host's statements, one every isolatedRetryInterval is.
func (i *Isolation) ShouldTry(now time.Time) bool {
	if i.Isolated(now) && now.Sub(i.triedAt) < isolatedRetryInterval {
		return false
	}
	i.triedAt = now
	return true
}
