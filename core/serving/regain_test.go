package serving

import (
	"testing"
	"time"
)

// However many hosts are lost, looking for them costs a bounded number of questions, and a single one is found again soon.
func TestPeerRetryRateIsBounded(t *testing.T) {
	for _, failed := range []int{1, 5, 20, 100, 540, 1100} {
		const played = 1000 * time.Second
		asked := 0
		pause := PeerRetryDelay(0, failed)
		for at := pause; at < played; at += pause {
			pause = PeerRetryDelay(pause, failed)
			asked++
		}
		if rate := float64(failed*asked) / played.Seconds(); rate > 51 {
			t.Errorf("%d hosts are asked %.0f times a second", failed, rate)
		}
	}
	if pause := PeerRetryDelay(time.Second, 1); pause != maxRetryDelay {
		t.Errorf("a single host is asked after %s", pause)
	}
}
