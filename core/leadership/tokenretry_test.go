package leadership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Of 986 hosts 55 % are lost, and 550 roles change hands within three seconds. The platform serves 50 calls a
// second. Without backoff, each coordinator sent its fencing token three times a second until it was accepted, and
// 97 of 100 calls were refused.
func TestTokenRetryDelayLimitsCalls(t *testing.T) {
	const coordinators, callsPerSecond = 550, 50
	type coordinator struct{ due, delay time.Duration }
	random := rand.New(rand.NewPCG(1, 2))
	var waiting []*coordinator
	for range coordinators {
		waiting = append(waiting, &coordinator{due: time.Duration(random.Int64N(int64(3 * time.Second)))})
	}
	calls, accepted, second := 0, 0, time.Duration(-1)
	var now time.Duration
	for len(waiting) > 0 {
		h := slices.MinFunc(waiting, func(a, b *coordinator) int { return cmp.Compare(a.due, b.due) })
		now = h.due
		if s := now.Truncate(time.Second); s != second {
			second, accepted = s, 0
		}
		calls++
		if accepted < callsPerSecond {
			accepted++
			waiting = slices.DeleteFunc(waiting, func(o *coordinator) bool { return o == h })
			continue
		}
		h.delay = TokenRetryDelay(h.delay, random.Float64())
		h.due += h.delay
	}
	if most := 6 * coordinators; calls > most {
		t.Errorf("%d calls, want at most %d", calls, most)
	}
	// The platform needs 11 s for all fencing tokens if it is never idle.
	if now > 18*time.Second {
		t.Errorf("the last fencing token was accepted after %s, want at most 18s", now)
	}
	t.Logf("%d calls, %s", calls, now)
}
