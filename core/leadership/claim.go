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
	// minClaimBackoff and maxClaimBackoff bound the backoff after a failed attempt to acquire a role. Without it, a
	// host that received no updates tried ten times a second to acquire a role that another host already had, with
	// three store calls each time.
	minClaimBackoff = 200 * time.Millisecond
	maxClaimBackoff = 3200 * time.Millisecond
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

// ClaimSchedule decides when a host tries to acquire the role of a group. The zero value is ready for use. It is not
// safe for concurrent use.
type ClaimSchedule struct {
	// vacantSince is when the role was first seen without a holder, or zero. After a failed attempt, the next one
	// starts no sooner than notBefore, which is backoff later.
	vacantSince, notBefore time.Time
	backoff                time.Duration
}

// Due reports whether a role that is vacant now has been so for as long as hosts of higher rank are given to acquire
// it, and no backoff is running. The first call for a vacant role returns false.
func (s *ClaimSchedule) Due(now time.Time, rank int, lag time.Duration) bool {
	if s.vacantSince.IsZero() {
		s.vacantSince = now
		return false
	}
	return now.Sub(s.vacantSince) >= ClaimDelay(rank, lag) && !now.Before(s.notBefore)
}

// Fail records a failed attempt.
func (s *ClaimSchedule) Fail(now time.Time) {
	s.backoff = min(max(2*s.backoff, minClaimBackoff), maxClaimBackoff)
	s.vacantSince, s.notBefore = now, now.Add(s.backoff)
}

// Reset forgets the vacancy: the role was acquired, or the host must not claim it.
func (s *ClaimSchedule) Reset() { s.vacantSince, s.backoff = time.Time{}, 0 }
