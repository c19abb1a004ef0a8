package leadership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Of 986 hosts 55 % are lost, and 550 duties change their holders over three seconds before a platform that takes 50
// calls a second. Each holder tried three times a second until its token was taken, so that 97 of 100 calls were refused.
func TestTokenRetryDelayLimitsCalls(t *testing.T) {
	const holders, aSecond = 550, 50
	type holder struct{ due, pause time.Duration }
	random := rand.New(rand.NewPCG(1, 2))
	var waiting []*holder
	for range holders {
		waiting = append(waiting, &holder{due: time.Duration(random.Int64N(int64(3 * time.Second)))})
	}
	calls, taken, second := 0, 0, time.Duration(-1)
	var now time.Duration
	for len(waiting) > 0 {
		h := slices.MinFunc(waiting, func(a, b *holder) int { return cmp.Compare(a.due, b.due) })
		now = h.due
		if s := now.Truncate(time.Second); s != second {
			second, taken = s, 0
		}
		calls++
		if taken < aSecond {
			taken++
			waiting = slices.DeleteFunc(waiting, func(o *holder) bool { return o == h })
			continue
		}
		h.pause = TokenRetryDelay(h.pause, random.Float64())
		h.due += h.pause
	}
	if most := 6 * holders; calls > most {
		t.Errorf("%d calls, want at most %d", calls, most)
	}
	// The platform needs 11 s for these if it has no moment without a call.
	if now > 18*time.Second {
		t.Errorf("the last token was taken after %s", now)
	}
	t.Logf("%d calls, %s", calls, now)
}
