package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
)

// largeFleet starts n hosts together before a store that holds so many further keys, in pages of a tenth of them.
func largeFleet(n, keys int) *fakeFleet {
	s := newFakeSite("a", "b", "c")
	s.maxConns, s.pageItems = 20, keys/10
	for i := range keys {
		s.put(fmt.Sprint("own/other/", i), []byte("x"), 0)
	}
	f := newFakeFleet(s, 0, 20, freshness.Latest{})
	f.seeds = []netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)}
	for i := range n {
		f.start(i, freshness.Latest{})
	}
	return f
}

func (f *fakeFleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(20 * time.Second)
}

// Each host of a fleet read the whole store as it started, since it knew of no other host: before 1,000 groups 20 pages a
// host, more than the store's link carries in the time in which a list had to be read. Now a few read it and the
// others learn from them: what all hosts together read does not grow with the fleet as its lists do.
func TestFewHostsReadTheStoreAsAllStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := largeFleet(120, 500)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.wantConfigInForce(t, 1)
		f.site.mu.Lock()
		defer f.site.mu.Unlock()
		// One page to count the hosts costs a host a look; a whole list costs ten.
		if read := f.site.pages; read > 120*4 {
			t.Errorf("120 hosts read %d pages", read)
		}
	})
}
