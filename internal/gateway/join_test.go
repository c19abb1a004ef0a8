package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/kv"
)

// wideSite starts n hosts together before a store that holds so many further keys, in pages of a tenth of them.
func wideSite(n, keys int) *fakeFleet {
	s := newFakeSite("a", "b", "c")
	s.cap, s.pageItems = 20, keys/10
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
		f := wideSite(120, 500)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.wantInForce(t, 1)
		f.site.mu.Lock()
		defer f.site.mu.Unlock()
		// One page to count the hosts costs a host a look; a whole list costs ten.
		if read := f.site.pages; read > 120*4 {
			t.Errorf("120 hosts read %d pages", read)
		}
	})
}

// The store refuses each third call while a host reads a list of many pages. A list that begins again with each failure
// would hardly ever end.
func TestPageThatFailedIsReadAgainAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite("a", "b", "c")
		s.pageItems, s.failPage = 5, 3
		for i := range 100 {
			s.put(fmt.Sprint("own/other/", i), []byte("x"), 0)
		}
		h := NewHost(Settings{Host: "h"}, Ports{Store: s, Decode: fakeDecoder{freshness.Latest{}}, Keys: Keys{Config: "config", Members: "members/", Own: "own/"}}, testLogger(), time.Now)
		list, err := h.list(t.Context(), kv.Range{Prefix: "own/other/"})
		if err != nil || len(list.Items) != 100 {
			t.Errorf("%d items, %v", len(list.Items), err)
		}
		if s.pages > 40 {
			t.Errorf("%d pages were read for a list of 20", s.pages)
		}
	})
}

// A thousand hosts that start turn to the few that have the list. Each sends it to some at a time, and names the others
// hosts that have it too, or its memory fills with lists on their way.
func TestHostsBeyondTheFeedsAreTurnedAway(t *testing.T) {
	playFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		h := f.watching()[0]
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		turned := make(chan News, 3*mostLists)
		overSlowLink := func(n News) error {
			if len(n.Elsewhere) > 0 {
				turned <- n
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}
		for range 3 * mostLists {
			go func() {
				if err := h.Feed(ctx, 0, overSlowLink); !errors.Is(err, errTurnedAway) && ctx.Err() == nil {
					t.Errorf("a feed ended with %v", err)
				}
			}()
		}
		time.Sleep(time.Second)
		if n := len(turned); n != 2*mostLists {
			t.Errorf("%d of %d were turned away", n, 3*mostLists)
		}
		if n := <-turned; len(n.Elsewhere) != named || n.Age < staleNews || n.Whole {
			t.Errorf("they were told %+v", n)
		}
	})
}
