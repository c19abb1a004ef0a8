package serving

import (
	"testing"
	"time"
)

// The rate of retries must stay bounded for any number of failed hosts, and the delay for a single host must stay short.
func TestPeerRetryRateIsBounded(t *testing.T) {
	for _, failed := range []int{1, 5, 20, 100, 540, 1100} {
		const duration = 1000 * time.Second
		retries := 0
		delay := PeerRetryDelay(0, failed)
		for at := delay; at < duration; at += delay {
			delay = PeerRetryDelay(delay, failed)
			retries++
		}
		if rate := float64(failed*retries) / duration.Seconds(); rate > 51 {
			t.Errorf("%d failed hosts are contacted %.0f times a second", failed, rate)
		}
	}
	if delay := PeerRetryDelay(time.Second, 1); delay != maxRetryDelay {
		t.Errorf("delay for a single host is %s", delay)
	}
}
