package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
)

// largeFleet starts n hosts at the same time. The store holds the given number of additional keys and lists a tenth of them
// per page.
func largeFleet(n, keys int) *fakeFleet {
	s := newFakeSite("a", "b", "c")
	s.maxConns, s.pageItems = 20, keys/10
	for i := range keys {
		s.put(fmt.Sprint("own/other/", i), []byte("x"), 0)
	}
	f := newFakeFleet(s, 3, 0, 20, freshness.Latest{})
	f.seeds = []netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)}
	for i := range n {
		f.start(i, freshness.Latest{})
	}
	return f
}

// stopAll stops all hosts and waits until timers of the store and of promotion requests have expired.
func (f *fakeFleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(20 * time.Second)
}

// Guards against a fleet start in which every host reads the whole store because it does not know other hosts yet. With
// 1,000 groups this took 20 pages per host, more than the store's link could carry within the timeout of a list. Only a few
// hosts may read the whole store, and the others must receive its content from these.
func TestFewHostsReadStoreDuringFleetStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := largeFleet(120, 500)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.wantConfigInForce(t, 1)
		f.site.mu.Lock()
		defer f.site.mu.Unlock()
		// A host reads one page each time it counts the hosts, and ten pages to list the whole store.
		if read := f.site.pages; read > 120*4 {
			t.Errorf("120 hosts read %d pages", read)
		}
	})
}
