package leadership

import (
	"testing"
	"time"
)

// When a fleet starts, a thousand roles are vacant, and hosts learn after 1.2 s who has claimed them. Of the
// nine hosts that may claim each role, eight still regarded it as vacant after their delays of 150 ms to 1.2 s,
// and sent some six thousand claims that failed.
func TestClaimDelayCoversReplicationLag(t *testing.T) {
	const lag = 1200 * time.Millisecond
	learned := ClaimDelay(0, lag) + lag // when others learn of the first claim
	for rank := 1; rank < 9; rank++ {
		if delay := ClaimDelay(rank, lag); delay < learned {
			t.Errorf("host of rank %d claims after %s, but learns of the first claim after %s", rank, delay, learned)
		}
	}
}

// In a small fleet, or when the first host is gone, the next one follows soon.
func TestClaimDelay(t *testing.T) {
	for _, c := range []struct {
		rank      int
		lag, want time.Duration
	}{
		{0, 0, 0},
		{0, time.Second, 0},
		{1, 60 * time.Millisecond, 150 * time.Millisecond},
		{3, 0, 450 * time.Millisecond},
		{1, 200 * time.Millisecond, 350 * time.Millisecond},
		{1, time.Minute, 4150 * time.Millisecond},
	} {
		if got := ClaimDelay(c.rank, c.lag); got != c.want {
			t.Errorf("rank %d, lag %s: %s, want %s", c.rank, c.lag, got, c.want)
		}
	}
}

// A host that receives no updates regards a role as vacant that another host holds. It must not call the store with each
// check.
func TestFailedClaimsAreRareAndRetried(t *testing.T) {
	var s ClaimSchedule
	now, claims := time.Unix(100, 0), 0
	for range 100 {
		if s.Due(now, 0, 0) {
			claims++
			s.Fail(now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	if claims < 4 || claims > 8 {
		t.Errorf("%d claims in 10 s", claims)
	}
}
