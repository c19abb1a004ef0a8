package leadership

import "time"

const (
	// claimStagger is how much longer each host of a lower rank waits before it takes a duty that nobody holds, so that
	// the first one usually succeeds.
	claimStagger = 150 * time.Millisecond
	// typicalLag is how long news take to a host of a small fleet.
	typicalLag = 100 * time.Millisecond
	// maxLag bounds the lag that is waited for.
	maxLag = 2 * time.Second
)

// ClaimDelay returns how long nobody must have held a duty until a host takes it, while so many hosts come before it and
// news of what others write take so long to reach it.
//
// The load that it answers is a fleet that starts: a thousand duties are vacant at once, and it takes a second or two until
// a host hears that those before it have taken theirs. Hosts that waited for a fixed time tried in vain, each by itself.
func ClaimDelay(before int, lag time.Duration) time.Duration {
	if before == 0 {
		return 0
	}
	return time.Duration(before)*claimStagger + 2*min(max(0, lag-typicalLag), maxLag)
}
