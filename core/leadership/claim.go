package leadership

import "time"

const (
	// claimStagger is the additional delay per rank before a host claims a vacant role, so that the first host
	// usually succeeds.
	claimStagger = 150 * time.Millisecond
	// typicalLag is how long a change in the store takes to reach a host of a small fleet.
	typicalLag = 100 * time.Millisecond
	// maxLag bounds the lag in ClaimDelay.
	maxLag = 2 * time.Second
)

// ClaimDelay returns how long a role must have been vacant before a host claims it. rank is the number of hosts
// that may claim it earlier, and lag the time that a change in the store takes to reach this host. The delay is
// zero for rank 0.
//
// It is designed for the start of a fleet: a thousand roles are vacant at once, and a host learns only after a
// second or two which of them the hosts before it have claimed. With a fixed delay, each host also claimed these
// roles, and its claims failed.
func ClaimDelay(rank int, lag time.Duration) time.Duration {
	if rank == 0 {
		return 0
	}
	return time.Duration(rank)*claimStagger + 2*min(max(0, lag-typicalLag), maxLag)
}
