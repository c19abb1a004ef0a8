package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// Thirty hosts stand before members with too few connections for reads near by. Those that don't
// serve have no use for the primary's position, and must not ask the holder for it: in a large
// fleet that made 2,000 questions a second.
func TestHostsWithoutLocalReadsRequestNoPositions(t *testing.T) {
	withFleet(t, 30, 20, freshness.MaxAge{Age: time.Second}, func(_ *fakeSite, f *fakeFleet) {
		_, elsewhere := f.serving()
		before := f.leaseRequests.Load()
		for _, h := range elsewhere {
			exec(h, Read{})
		}
		time.Sleep(2 * time.Second)
		if n := f.leaseRequests.Load() - before; n > 40 { // of the few that serve
			t.Errorf("%d questions for leases or positions in two seconds", n)
		}
	})
}
