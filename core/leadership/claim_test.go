package leadership

import (
	"testing"
	"time"
)

// A thousand duties are vacant as a fleet starts, and news of who takes them come after 1.2 s. Of the nine strong hosts with
// a claim to each, eight took it for vacant still after 150 ms to 1.2 s, and made some six thousand calls in vain.
func TestClaimDelayCoversReplicationLag(t *testing.T) {
	const lag = 1200 * time.Millisecond
	taken := ClaimDelay(0, lag) + lag // when others hear that the first one has taken it
	for before := 1; before < 9; before++ {
		if wait := ClaimDelay(before, lag); wait < taken {
			t.Errorf("a host with %d before it claims after %s, and hears of them after %s", before, wait, taken)
		}
	}
}

// In a small fleet, and where the first host is gone, the next one follows soon.
func TestClaimDelay(t *testing.T) {
	for _, c := range []struct {
		before    int
		lag, want time.Duration
	}{
		{0, 0, 0},
		{0, time.Second, 0},
		{1, 60 * time.Millisecond, 150 * time.Millisecond},
		{3, 0, 450 * time.Millisecond},
		{1, 200 * time.Millisecond, 350 * time.Millisecond},
		{1, time.Minute, 4150 * time.Millisecond},
	} {
		if got := ClaimDelay(c.before, c.lag); got != c.want {
			t.Errorf("%d before, lag %s: %s, want %s", c.before, c.lag, got, c.want)
		}
	}
}
