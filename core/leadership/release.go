package leadership

import "time"

// MayReleaseFences reports whether a coordinator may send a command that releases fences. roleUntil is the time until
// which it relies on its role, and timeout is how long the command may be under way.
//
// The command names no term, so it would also release a fence of the next coordinator. That one relies on its fences
// only after roleUntil, see Predecessor.LeasesEnd.
func MayReleaseFences(now, roleUntil time.Time, timeout time.Duration) bool {
	return now.Add(timeout).Before(roleUntil)
}
