package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/internal/follow"
)

// watchWait is how long a watch of the store lasts that brings nothing.
const watchWait = time.Second

// storeReaders returns the hosts that ask the store themselves.
func (f *fakeFleet) storeReaders() []*Host {
	var out []*Host
	for _, h := range f.all() {
		if _, ok := h.follower.Sources()[0].(follow.FromStore); ok {
			out = append(out, h)
		}
	}
	return out
}

// mutualSources returns two watching hosts that turn to each other when the store fails them.
func (f *fakeFleet) mutualSources() []*Host {
	second := func(h *Host) follow.Source { return h.follower.Sources()[1] }
	for _, a := range f.storeReaders() {
		for _, b := range f.storeReaders() {
			if second(a) == follow.Source(follow.FromHost{Addr: b.settings.Peer}) && second(b) == follow.Source(follow.FromHost{Addr: a.settings.Peer}) {
				return []*Host{a, b}
			}
		}
	}
	return nil
}

// newConfig writes the next version of the configuration.
func (f *fakeFleet) newConfig(version, connections byte) {
	f.site.put("config", []byte{version, connections}, 0)
}

// hostsBehind returns the hosts that have not the version in force.
func (f *fakeFleet) hostsBehind(version int64) []string {
	var out []string
	for _, h := range f.all() {
		if h.configVersion() != version {
			out = append(out, h.settings.Host)
		}
	}
	return out
}

// wantConfigInForce checks that all hosts have the version in force.
func (f *fakeFleet) wantConfigInForce(t *testing.T, version int64) {
	t.Helper()
	if late := f.hostsBehind(version); len(late) > 0 {
		t.Errorf("%v are behind", late)
	}
}

// One host of each availability zone watches the store, and all others learn from it. A
// change of the configuration must be in force everywhere at once.
func TestChangesReachAllHosts(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		if n := len(f.storeReaders()); n != 3 {
			t.Errorf("%d hosts watch the store", n)
		}
		f.newConfig(2, 20)
		time.Sleep(20 * time.Millisecond)
		f.wantConfigInForce(t, 2)
	})
}

// The store turns two of the three hosts away that watch it, without a word. Each of them
// then follows another host. If they follow one another, what they pass on to each other
// must not seem fresh for ever: a new configuration must be in force within 3 s.
func TestHostsRejectedByStoreDoNotFollowEachOther(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		for _, h := range f.mutualSources() {
			f.setFault(f.storeRejects, h.settings.Host, true)
		}
		time.Sleep(watchWait)
		f.newConfig(2, 20)
		time.Sleep(2900 * time.Millisecond)
		f.wantConfigInForce(t, 2)
		// And later ones come without a delay.
		f.newConfig(3, 20)
		time.Sleep(500 * time.Millisecond)
		f.wantConfigInForce(t, 3)
	})
}

// The host from which a zone learns dies, or goes dark. The others must notice and learn
// from another one.
func TestLostFeedIsReplaced(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		gone := f.storeReaders()[0]
		f.setFault(f.unreachable, gone.settings.Host, true)
		f.setFault(f.storeRejects, gone.settings.Host, true)
		time.Sleep(watchWait + 100*time.Millisecond) // a watch that began before has ended
		f.newConfig(2, 20)
		time.Sleep(1500 * time.Millisecond)
		late := f.hostsBehind(2)
		if len(late) != 1 || late[0] != gone.settings.Host {
			t.Errorf("%v are behind", late)
		}
	})
}

// All watching hosts reach the store again after an outage in which members left and the
// configuration changed. What was removed meanwhile must be gone everywhere.
func TestRemovalsArePropagatedAfterOutage(t *testing.T) {
	withFleet(t, 12, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.setDown(true)
		time.Sleep(3 * time.Second)
		s.writeMemberEntry("c", "")
		f.newConfig(2, 20)
		s.setDown(false)
		time.Sleep(2500 * time.Millisecond)
		for _, h := range f.all() {
			if h.configVersion() != 2 {
				t.Errorf("%s is behind", h.settings.Host)
			}
			h.mu.Lock()
			_, listed := h.storeView.Item("members/c")
			h.mu.Unlock()
			if listed {
				t.Errorf("%s still lists the member that left", h.settings.Host)
			}
		}
	})
}

// The store refuses all calls for six seconds. The hosts that ask it go on to do so; all others wait for
// these, or a large fleet spends the outage on looking for news that nobody has. When the store is
// back, a change must be in force everywhere at once.
func TestHostsWaitOutStoreOutage(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		asks := map[string]bool{}
		for _, h := range f.storeReaders() {
			asks[h.settings.Host] = true
		}
		s.setRefusing(true)
		f.mu.Lock()
		clear(f.storeReads)
		f.mu.Unlock()
		time.Sleep(6 * time.Second)
		f.mu.Lock()
		for host, n := range f.storeReads {
			if !asks[host] && n > 7 {
				t.Errorf("%s looked for news %d times", host, n)
			}
		}
		f.mu.Unlock()
		s.setRefusing(false)
		f.newConfig(2, 20)
		time.Sleep(follow.SourcePauseMax + 300*time.Millisecond)
		f.wantConfigInForce(t, 2)
	})
}
