package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

// coordinatorHost returns the host that holds the duty of the test's group.
func (f *fakeFleet) coordinatorHost() *Host {
	for _, h := range f.all() {
		h.mu.Lock()
		d := h.coordinators[testGroup]
		h.mu.Unlock()
		if d != nil && d.mayPromote() {
			return h
		}
	}
	return nil
}

// other returns a host that is not the one given.
func (f *fakeFleet) other(than *Host) *Host {
	for _, h := range f.all() {
		if h != than {
			return h
		}
	}
	return nil
}

// A network parts the primary and one host from the replicas, the store and all other
// hosts. A replica takes over and acknowledges new writes. The host on the primary's side
// goes on to reach it, and it goes on to say that it leads: reads of the latest there must
// be refused rather than answered from the old log.
func TestHostPartitionedWithReplacedPrimaryReadsNoStaleData(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.coordinatorHost()
		apart := f.other(holder)
		exec(apart, Write{})
		name := apart.settings.Host
		f.setFault(f.unreachable, name, true)
		f.setFault(f.storeRejects, name, true)
		s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
		for _, h := range f.all() {
			if h != apart {
				f.setFault(f.severed, h.settings.Host+" a", true)
			}
		}
		var written bool
		for range 300 {
			if !written && s.primaryID() != "a" {
				written = exec(holder, Write{}).Failure == nil
			}
			late := written
			if r := exec(apart, Read{}); r.Failure == nil && late && joinedRows(r) == "a" {
				t.Fatal("the replaced primary answered a read of the latest")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !written {
			t.Error("no other member took over")
		}
		wantNoLostWrites(t, s)
	})
}

// A primary drains while one host, which holds a lease on it, can't be reached, and the primary
// is parted from the other members just then. The holder must wait until that lease has run
// out: the host reads from the old primary until then.
func TestSwitchoverWaitsForUnreturnedLease(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.coordinatorHost()
		apart := f.other(holder)
		exec(apart, Write{})
		exec(holder, Write{})
		time.Sleep(time.Second)
		if r := exec(apart, Read{}); r.Failure != nil {
			t.Fatalf("the read failed: %v", r.Failure)
		}
		f.setFault(f.unreachable, apart.settings.Host, true)
		f.setFault(f.storeRejects, apart.settings.Host, true)
		s.writeMemberEntry("a", "draining")
		s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
		var written bool
		for range 300 {
			if !written && s.primaryID() != "a" {
				written = exec(holder, Write{}).Failure == nil
			}
			late := written
			if r := exec(apart, Read{}); r.Failure == nil && late && joinedRows(r) == "a" {
				t.Fatal("the replaced primary answered a read of the latest")
			}
		}
		if !written {
			t.Error("no other member took over")
		}
		wantNoLostWrites(t, s)
	})
}

// A primary crashes while several hosts hold leases on it. They are asked to give them back,
// so the callers' gap is the platform's time for a promotion and no lease long.
func TestLeasesAreReturnedBeforePromotion(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			exec(h, Read{})
		}
		time.Sleep(500 * time.Millisecond)
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		if took := awaitWrite(t, f.other(f.coordinatorHost()), 5*time.Second); took > promoteTime+400*time.Millisecond {
			t.Errorf("the gap was %s", took)
		}
		wantNoLostWrites(t, s)
	})
}

// A replica alone has received a caller's write, and starts again under its identifier with
// an empty log, then the primary crashes. Both replicas answer and are fenced, but neither
// holds the write: no one may take over until the primary is back.
func TestRestartedMemberHasEmptyLog(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
		exec(h, Write{})
		time.Sleep(time.Second)
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		s.restart("b")
		time.Sleep(5 * time.Second)
		if got := s.primaryID(); got != "a" {
			t.Errorf("%q was promoted", got)
		}
		s.updateMember("a", func(m *fakeMember) { m.crashed = false })
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = false })
		awaitWrite(t, h, 3*time.Second)
		wantNoLostWrites(t, s)
	})
}

// The store does not tell yet that a replica started again, and it answers from an empty log
// to the questions of the holder. That alone must be enough.
func TestShrunkLogIsDetectedFromStatus(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
		exec(h, Write{})
		time.Sleep(time.Second)
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		s.updateMember("b", func(m *fakeMember) { m.received, m.applied = group.Position{}, group.Position{} })
		time.Sleep(5 * time.Second)
		if got := s.primaryID(); got != "a" {
			t.Errorf("%q was promoted", got)
		}
	})
}

// The store is away for longer than the duty is certain, so nobody grants leases. All other
// members say that they follow, and callers go on to read the latest from the primary.
func TestReplicasConfirmPrimaryDuringStoreOutage(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.setDown(true)
		time.Sleep(coordinatorLeaseTTL + time.Second)
		if h.group(testGroup).hasLease("a", h.now()) {
			t.Fatal("the host holds a lease")
		}
		for range 20 {
			if r := exec(h, Read{}); r.Failure != nil || joinedRows(r) != "a" {
				t.Errorf("the read was answered with %v", r)
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.updateMember("c", func(m *fakeMember) { m.silent = true })
		time.Sleep(maxCheckBackoff)
		if r := exec(h, Read{}); r.Failure == nil {
			t.Error("a read of the latest was served though a member that may lead is silent")
		}
		s.setDown(false)
	})
}

// A lease must not outlive what the holder can promise: the duty itself, or a primary of
// which nothing is heard.
func TestLeaseEndsWithCoordinatorRole(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Read{})
		s.setDown(true)
		time.Sleep(coordinatorLeaseTTL - 200*time.Millisecond)
		if got := h.GrantLease(LeaseRequest{Group: testGroup, Host: "h2"}); got.Granted > 300*time.Millisecond {
			t.Errorf("a lease of %s outlives the duty", got.Granted)
		}
		time.Sleep(400 * time.Millisecond)
		if got := h.GrantLease(LeaseRequest{Group: testGroup, Host: "h2"}); got.Granted > 0 {
			t.Errorf("a lease of %s was granted without the duty", got.Granted)
		}
		s.setDown(false)
	})
}

// A host has lost the holder of the duty, and with it its lease, when a write is acknowledged
// to it. The holder has fenced a replica meanwhile: it reads there what a successor must hold,
// without this write. Its caller must not be told that it is kept.
func TestWriteWithoutLeaseIsConfirmedByReplicas(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.put(h.coordinatorKey(testGroup), []byte("h2"), 0)
		time.Sleep(leadership.LeaseDuration + 100*time.Millisecond)
		if r := exec(h, Write{}); r.Failure != nil {
			t.Errorf("a write that no one disputes failed: %v", r.Failure)
		}
		s.updateMember("c", func(m *fakeMember) { m.fenced = 2 })
		wantCode(t, exec(h, Write{}), InDoubt)
	})
}

// A replica vanishes from the store and from the hosts' sight, and is alive: it alone receives
// what the primary writes. Then the primary goes dark as well. The other replica answers, and
// must not take over: it lacks what callers were told is kept.
func TestUnreachableReplicaMayHoldOnlyCopy(t *testing.T) {
	withFleet(t, 2, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		h := f.coordinatorHost()
		exec(h, Write{})
		for _, each := range f.all() {
			f.setFault(f.severed, each.settings.Host+" c", true)
		}
		s.writeMemberEntry("c", "")
		time.Sleep(time.Second)
		s.updateMember("b", func(m *fakeMember) { m.receivesNothing = true })
		for range 5 {
			exec(h, Write{})
		}
		time.Sleep(2 * time.Second)
		s.updateMember("a", func(m *fakeMember) { m.silent = true })
		time.Sleep(2 * time.Second)
		if got := s.primaryID(); got != "a" {
			t.Errorf("%q was promoted", got)
		}
	})
}

// A replica has been fenced, is started again before the other one is, and receives from the
// primary once more: it has forgotten its fence. The holder must not choose a successor by what
// the two held.
func TestReplicaThatLostFenceIsNotCounted(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		w := &groupMonitor{coordinator: &coordinator{host: h, group: g, held: true, token: 1000}, primary: Member{ID: "a"}}
		fenced := g.controlAll([]Member{{ID: "b", Group: testGroup}, {ID: "c", Group: testGroup}}, Fence{Term: 2}, controlTimeout)
		s.updateMember("c", func(m *fakeMember) { m.fenced = 0 })
		if best, ok := w.chooseSuccessor(nil, w.confirmFences(2, fenced)); ok {
			t.Errorf("%s was chosen", best)
		}
		g.controlAll([]Member{{ID: "c", Group: testGroup}}, Fence{Term: 2}, controlTimeout)
		if best, ok := w.chooseSuccessor(nil, w.confirmFences(2, fenced)); !ok || best != "b" {
			t.Errorf("%s was chosen, %v", best, ok)
		}
	})
}

// A primary is missing in the list, and goes on as a replica of the next one, acknowledges for
// it and ends. What the deaf replica holds is no longer enough: the floor is from before.
func TestPrimaryThatWentMissingCountsAsDeparted(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		s.writeMemberEntry("a", "")
		time.Sleep(100 * time.Millisecond)
		g.mu.Lock()
		before := g.floorValid()
		g.setPrimary("b", "test")
		after := g.floorValid()
		g.mu.Unlock()
		if !before || after {
			t.Errorf("the floor was known: %v, then %v", before, after)
		}
	})
}

// The host holds no lease, and the member that leads now resets its connections, since it has too
// many. The other one has not heard of the new term. That is no proof for the old primary: only a
// process that has ended can't lead.
func TestConnectionResetDoesNotProveMemberEnded(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.put(h.coordinatorKey(testGroup), []byte("h2"), 0)
		time.Sleep(leadership.LeaseDuration + 100*time.Millisecond)
		s.updateMember("b", func(m *fakeMember) { m.resets = true })
		if r := exec(h, Read{}); r.Failure == nil {
			t.Error("a read was served beside a member that may lead")
		}
		s.updateMember("b", func(m *fakeMember) { m.resets, m.crashed = false, true })
		time.Sleep(maxCheckBackoff)
		if r := exec(h, Read{}); r.Failure != nil {
			t.Errorf("a read failed beside a member that has ended: %v", r.Failure)
		}
	})
}

// The holder grants a lease, and takes all leases back while the grant is still on its way. The
// host must not use it when it comes: the holder counts it as returned.
func TestLateLeaseGrantAfterRevocationIsIgnored(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		asked := h.now()
		granted := h.GrantLease(LeaseRequest{Group: testGroup, Host: "h1"})
		if granted.Granted == 0 {
			t.Fatal("no lease was granted")
		}
		for _, planned := range []bool{true, false} {
			h.RevokeLease(testGroup, "a", planned)
			g.applyLease(asked, granted)
			if g.hasLease("a", h.now()) {
				t.Errorf("the lease holds, planned: %v", planned)
			}
		}
	})
}

// The store turns the holder away for longer than its duty lasts, and the platform checks tokens,
// so that it goes on to look after the group. Another holder may have promoted another member: what
// the primary that it sees answers is no sample of what was acknowledged.
func TestUncertainCoordinatorTakesNoSamples(t *testing.T) {
	withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.setDown(true)
		time.Sleep(coordinatorLeaseTTL + 2*time.Second)
		g := h.groups[testGroup]
		if _, at := g.newestSample(); h.now().Sub(at) < time.Second {
			t.Errorf("a sample of %s ago without a certain duty", h.now().Sub(at))
		}
		s.setDown(false)
	})
}

// A host without a lease has just proven the primary when another member takes over, and the old
// primary is cut off. A chef's transaction that may write reads there first: the proof from before
// it must not do, as it does for a write alone, which would hang.
func TestReadWriteTransactionReadsNoStaleData(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.put(h.coordinatorKey(testGroup), []byte("h2"), 0)
		time.Sleep(leadership.LeaseDuration + 100*time.Millisecond)
		exec(h, Write{})
		time.Sleep(10 * time.Millisecond)
		s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
		s.makePrimary(s.member("b"))
		h.groups[testGroup].setPrimaryForTest("a")
		chef := openSession(t, h)
		execIn(chef, Begin{})
		if r := execIn(chef, Read{}); r.Failure == nil && joinedRows(r) == "a" {
			t.Error("the replaced primary answered")
		}
		chef.Close()
	})
}

// setPrimaryForTest makes the host believe in a primary, as one does that has not heard of the next.
func (g *Group) setPrimaryForTest(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setPrimary(id, "test")
}

// The store was away, and the members' entries lapse on its return; they are back at once. The
// primary is dead by then, and a new holder takes the duty, with what the one before recorded. The
// members say when they were born, so nobody has left: the replica that holds all takes over.
func TestExpiredEntriesLeaveFloorValid(t *testing.T) {
	// Without births they may have started again with nothing.
	for born, want := range map[int]string{0: "a", 7: "b"} {
		t.Run(fmt.Sprint("born ", born), func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				s := newFakeSite("a", "b", "c")
				s.setIncarnation(born)
				h1, stop1 := startHost(s, "h1", freshness.Latest{})
				time.Sleep(3 * time.Second)
				_, stop2 := startHost(s, "h2", freshness.Latest{})
				s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
				exec(h1, Write{})
				time.Sleep(2 * time.Second)
				s.updateMember("a", func(m *fakeMember) { m.crashed = true })
				stop1()
				s.expireEntries("b", "c")
				time.Sleep(6 * time.Second)
				if got := s.primaryID(); got != want {
					t.Errorf("%q leads, want %q", got, want)
				}
				wantNoLostWrites(t, s)
				stop2()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// setIncarnation lets all members say that they were born then.
func (s *fakeSite) setIncarnation(born int) {
	for _, m := range s.members {
		s.updateMember(m.id, func(m *fakeMember) { m.incarnation = born })
		s.writeMemberEntry(m.id, "ready")
	}
}

// expireEntries removes the members' entries for a moment.
func (s *fakeSite) expireEntries(ids ...string) {
	for _, id := range ids {
		s.writeMemberEntry(id, "")
		time.Sleep(50 * time.Millisecond)
		s.writeMemberEntry(id, "ready")
	}
}
