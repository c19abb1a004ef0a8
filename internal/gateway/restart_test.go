package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
)

// killAll ends all hosts as a loss of power does: they hand nothing back, and their entries and store leases stay.
func (f *fakeFleet) killAll() {
	f.site.setDown(true)
	f.mu.Lock()
	stops := f.stops
	f.stops = map[string]func(){}
	f.mu.Unlock()
	ended := make(chan struct{})
	for _, stop := range stops {
		go func() {
			stop()
			ended <- struct{}{}
		}()
	}
	for range stops {
		<-ended
	}
	f.site.setDown(false)
}

// withRestart runs a fleet of three hosts, ends all of them at once, and calls test after it has started them again under
// their IDs. prepare is called before the start.
func withRestart(t *testing.T, prepare func(s *fakeSite), test func(s *fakeSite, f *fakeFleet)) {
	t.Helper()
	withRestartOf(t, 7, prepare, test)
}

// withRestartOf is withRestart with members that report the incarnation, or none if it is zero.
func withRestartOf(t *testing.T, incarnation int, prepare func(s *fakeSite), test func(s *fakeSite, f *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		s.setIncarnation(incarnation)
		f := newFakeFleet(s, 3, 3, 20, freshness.Latest{})
		time.Sleep(4 * time.Second)
		for _, h := range f.all() {
			exec(h, Write{})
		}
		time.Sleep(time.Second)
		f.killAll()
		prepare(s)
		for i := range 3 {
			f.start(i, freshness.Latest{})
		}
		test(s, f)
		f.stopAll()
	})
}

// awaitLease lets callers of all hosts ask for the primary until a host has a lease on the member, and returns how long
// that took, or the timeout.
func (f *fakeFleet) awaitLease(member string, timeout time.Duration) time.Duration {
	started := time.Now()
	for time.Since(started) < timeout {
		for _, h := range f.all() {
			if g := h.group(testGroup); g != nil {
				g.notePrimaryNeeded()
				if g.hasLease(member, time.Now()) {
					return time.Since(started)
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return timeout
}

// Guards against leases that come late after a loss of all hosts: coordinators waited for 1.2 s for promotions that
// processes which had ended might have requested, and leases came 1.4 to 2.2 s after the start.
// The coordinators are the same after the restart, so it makes no difference whether members report their own restarts.
func TestLeasesAreGrantedSoonAfterRestartOfAllHosts(t *testing.T) {
	for _, incarnation := range []int{7, 0} {
		withRestartOf(t, incarnation, func(*fakeSite) {}, func(_ *fakeSite, f *fakeFleet) {
			if took := f.awaitLease("a", 3*time.Second); took > 500*time.Millisecond {
				t.Errorf("members of incarnation %d: the first lease was granted after %s", incarnation, took)
			}
		})
	}
}

// The store did not answer the coordinator, which requested a promotion without recording it, and all hosts ended while
// the platform carried it out. A lease on the old primary that outlasts the promotion would allow stale reads. The
// promotion was a switchover, so only one replica had a fence: it still has it, or its entry shows that it has restarted.
func TestAcceptedPromotionDelaysLeasesAfterRestartOfAllHosts(t *testing.T) {
	for name, change := range map[string]func(m *fakeMember){
		"fenced":    func(m *fakeMember) { m.fenced = 2 },
		"restarted": func(m *fakeMember) { m.incarnation++ },
	} {
		start := func(s *fakeSite) {
			s.updateMember("c", change)
			s.writeMemberEntry("c", "ready")
			time.AfterFunc(800*time.Millisecond, func() { s.makePrimary(s.member("b")) })
		}
		withRestart(t, start, func(s *fakeSite, f *fakeFleet) {
			if took := f.awaitLease("a", 3*time.Second); took < 3*time.Second {
				t.Errorf("%s: a lease on the old primary was granted after %s, and %q was promoted", name, took, s.primaryID())
			}
		})
	}
}

// Guards against a role that an earlier process of the host held and that is acquired only with the next poll, because the
// host's view of the record was old.
func TestOldRecordDelaysNoReclaim(t *testing.T) {
	const storeDelay = 50 * time.Millisecond
	withRestart(t, func(s *fakeSite) { s.storeDelay = storeDelay }, func(s *fakeSite, f *fakeFleet) {
		holder := func() *Host {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, h := range f.all() {
				if string(s.items["own/duty/"+testGroup].Value) == h.settings.Host {
					return h
				}
			}
			return nil
		}()
		waitFor(t, func() bool { return holder.knownRevision.Load() != 0 })
		s.mu.Lock()
		record := holder.recordKey(testGroup)
		s.putLocked(record, s.items[record].Value, 0)
		s.mu.Unlock()
		// One call for the lease and two for the entry.
		if took := waitFor(t, func() bool { return f.coordinatorHost() == holder }); took > 3*storeDelay+20*time.Millisecond {
			t.Errorf("the role was acquired after %s", took)
		}
	})
}

// Guards against conflicts over vacant roles that delay roles of an earlier process of this host, which no other host
// claims, and against calls for single roles that follow one after the other.
func TestConflictsDelayNoOtherRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite("a", "b", "c")
		s.storeDelay = 50 * time.Millisecond
		h, stop := startHost(s, "h1", freshness.Latest{})
		time.Sleep(3 * time.Second)
		stop()
		coordinators := func(prefix string, n int) []*coordinator {
			var out []*coordinator
			for i := range n {
				g := newGroup(prefix+string(rune('0'+i)), h)
				out = append(out, &coordinator{host: h, group: g})
			}
			return out
		}
		free, taken := coordinators("free", 7), coordinators("taken", 7)
		for _, d := range taken {
			s.put(h.coordinatorKey(d.group.name), []byte("h2"), 0)
		}
		started := time.Now()
		h.acquireCoordinators(t.Context(), free, taken)
		// One call for the lease, one for each batch, and one for the roles that are taken.
		if took := time.Since(started); took > 4*s.storeDelay {
			t.Errorf("acquiring took %s", took)
		}
		for _, d := range free {
			if !d.isHeld() {
				t.Errorf("the role of %s was not acquired", d.group.name)
			}
		}
		time.Sleep(10 * time.Second)
	})
}

// Connections to the primary are opened and the other members are asked whether it leads while no lease can be granted yet:
// the members have restarted, so that a promotion may be pending. The callers of a restarted host must not wait for the
// lease.
func TestCallersAreServedBeforeTheLease(t *testing.T) {
	withRestart(t, func(s *fakeSite) { s.setIncarnation(8) }, func(_ *fakeSite, f *fakeFleet) {
		started := time.Now()
		for _, h := range f.all() {
			awaitWrite(t, h, time.Second)
			if h.group(testGroup).hasLease("a", time.Now()) {
				t.Error("the host has a lease, which this test is not about")
			}
		}
		if took := time.Since(started); took > 150*time.Millisecond {
			t.Errorf("a write succeeded on each host after %s", took)
		}
	})
}
