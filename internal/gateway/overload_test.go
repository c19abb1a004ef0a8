package gateway

import (
	"strings"
	"sync"
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// More writes arrive than the primary runs. A caller that is refused only at the end of its wait bound, or told to return
// at once, has no use of its other attempts.
func TestOverloadIsRefusedEarlyWithRetryTimes(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.updateMember("a", func(m *fakeMember) { m.work = 50 * time.Millisecond })
		var mu sync.Mutex
		var running sync.WaitGroup
		early, late, served := 0, 0, 0
		for range 1000 {
			running.Go(func() {
				started := time.Now()
				r := exec(h, Write{})
				took := time.Since(started)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.Failure == nil:
					served++
				case r.Failure.Code != Busy || !strings.Contains(r.Failure.Detail, "retry_after_ms="):
					t.Errorf("after %s: %v", took, r.Failure)
				case took > 120*time.Millisecond: // half of the wait bound
					late++
				default:
					early++
				}
			})
			time.Sleep(3 * time.Millisecond)
		}
		running.Wait()
		// The primary has two slots, so that the host uses three connections, which run 180 statements in 3 s.
		if served < 170 || early < 9*late || early == 0 {
			t.Errorf("%d served, %d refused within half of the wait bound, %d later", served, early, late)
		}
	})
}
