package gateway

import (
	"fmt"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/internal/follow"
)

// watchWait is how long a watch of the store lasts if nothing changes.
const watchWait = time.Second

// storeReaders returns the hosts that read changes directly from the store.
func (f *fakeFleet) storeReaders() []*Host {
	var out []*Host
	for _, h := range f.all() {
		if _, ok := h.follower.Sources()[0].(follow.StoreSource); ok {
			out = append(out, h)
		}
	}
	return out
}

// mutualSources returns two store readers that are each other's second update source, which they use when the store does not
// answer them.
func (f *fakeFleet) mutualSources() []*Host {
	second := func(h *Host) follow.Source { return h.follower.Sources()[1] }
	for _, a := range f.storeReaders() {
		for _, b := range f.storeReaders() {
			if second(a) == follow.Source(follow.HostSource{Addr: b.settings.Peer}) && second(b) == follow.Source(follow.HostSource{Addr: a.settings.Peer}) {
				return []*Host{a, b}
			}
		}
	}
	return nil
}

// writeConfig writes a version of the configuration.
func (f *fakeFleet) writeConfig(version, connections byte) {
	f.site.put("config", []byte{version, connections}, 0)
}

// hostsBehind returns the hosts whose current configuration is not the version.
func (f *fakeFleet) hostsBehind(version int64) []string {
	var out []string
	for _, h := range f.all() {
		if h.configVersion() != version {
			out = append(out, h.settings.Host)
		}
	}
	return out
}

// wantConfigInForce checks that all hosts have applied the version of the configuration.
func (f *fakeFleet) wantConfigInForce(t *testing.T, version int64) {
	t.Helper()
	if late := f.hostsBehind(version); len(late) > 0 {
		t.Errorf("%v are behind", late)
	}
}

// One host in each availability zone watches the store, and the other hosts of the zone receive updates from it. All hosts
// must apply a new configuration within 20 ms.
func TestChangesReachAllHosts(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		if n := len(f.storeReaders()); n != 3 {
			t.Errorf("%d hosts watch the store", n)
		}
		f.writeConfig(2, 20)
		time.Sleep(20 * time.Millisecond)
		f.wantConfigInForce(t, 2)
	})
}

// The store stops answering two of the three hosts that watch it, so each of them uses another host as its update source. If
// they use each other, the updates that they exchange must not keep their view looking current: a new configuration must be
// in force within 3 s.
func TestHostsWithoutStoreDoNotFollowEachOther(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		for _, h := range f.mutualSources() {
			f.setFault(f.storeSilentFor, h.settings.Host, true)
		}
		time.Sleep(watchWait)
		f.writeConfig(2, 20)
		time.Sleep(2900 * time.Millisecond)
		f.wantConfigInForce(t, 2)
		// Later versions arrive without this delay.
		f.writeConfig(3, 20)
		time.Sleep(500 * time.Millisecond)
		f.wantConfigInForce(t, 3)
	})
}

// The host from which a zone receives its updates becomes unreachable. The other hosts must detect this and switch to
// another update source.
func TestLostFeedIsReplaced(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		gone := f.storeReaders()[0]
		f.setFault(f.unreachable, gone.settings.Host, true)
		f.setFault(f.storeSilentFor, gone.settings.Host, true)
		time.Sleep(watchWait + 100*time.Millisecond) // watches that started before the fault have ended
		f.writeConfig(2, 20)
		time.Sleep(1500 * time.Millisecond)
		late := f.hostsBehind(2)
		if len(late) != 1 || late[0] != gone.settings.Host {
			t.Errorf("%v are behind", late)
		}
	})
}

// The store readers reach the store again after an outage during which a member left and the configuration changed. The
// member's entry must be removed from the view of every host.
func TestRemovalsArePropagatedAfterOutage(t *testing.T) {
	withFleet(t, 12, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.setDown(true)
		time.Sleep(3 * time.Second)
		s.writeMemberEntry("c", "")
		f.writeConfig(2, 20)
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

// The store rejects all calls for six seconds. Only the store readers keep calling it. The other hosts wait for them: in a
// large fleet, their calls would load the store during the outage without finding updates. After the outage, a change must
// be in force on all hosts within 300 ms after the store readers' maximum pause.
func TestHostsWaitOutStoreOutage(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		isReader := map[string]bool{}
		for _, h := range f.storeReaders() {
			isReader[h.settings.Host] = true
		}
		s.setRefusing(true)
		f.mu.Lock()
		clear(f.storeReads)
		f.mu.Unlock()
		time.Sleep(6 * time.Second)
		f.mu.Lock()
		for host, n := range f.storeReads {
			if !isReader[host] && n > 7 {
				t.Errorf("%s called the store for updates %d times", host, n)
			}
		}
		f.mu.Unlock()
		s.setRefusing(false)
		f.writeConfig(2, 20)
		time.Sleep(follow.MaxStoreBackoff + 300*time.Millisecond)
		f.wantConfigInForce(t, 2)
	})
}

// Guards against hosts that act on a configuration which a newer one has replaced: the store rejects or does not answer the
// hosts that read it for the others, and a third of the rest. Each of them must find a host that is up to date.
func TestRejectedHostsFindUpToDateHosts(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			withFleet(t, 75, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
				fault := f.storeRejects
				if silent {
					fault = f.storeSilentFor
				}
				f.cutReadersFromStore(fault)
				time.Sleep(100 * time.Millisecond)
				for version := range byte(6) {
					f.writeConfig(2+version, 20)
					time.Sleep(3 * time.Second)
					f.wantConfigInForce(t, 2+int64(version))
				}
			})
		})
	}
}

// cutReadersFromStore sets the fault for all store readers and a third of the other hosts.
func (f *fakeFleet) cutReadersFromStore(fault map[string]bool) {
	for i, h := range f.all() {
		if i%3 == 0 {
			f.setFault(fault, h.settings.Host, true)
		}
	}
	for _, h := range f.storeReaders() {
		f.setFault(fault, h.settings.Host, true)
	}
}
