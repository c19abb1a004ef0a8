package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// With thirty hosts, the members have too few connections for local reads. Hosts that don't serve the group have no
// use for the primary's position and must not request it from the coordinator: in a large fleet these requests
// amounted to 2,000 per second.
func TestHostsWithoutLocalReadsRequestNoPositions(t *testing.T) {
	withFleet(t, 30, 20, freshness.MaxAge{Age: time.Second}, func(_ *fakeSite, f *fakeFleet) {
		_, elsewhere := f.serving()
		before := f.leaseRequests.Load()
		for _, h := range elsewhere {
			exec(h, Read{})
		}
		time.Sleep(2 * time.Second)
		if n := f.leaseRequests.Load() - before; n > 40 { // those of the few serving hosts
			t.Errorf("%d requests for leases or positions in two seconds", n)
		}
	})
}
