package gateway

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

// coordinatorHost returns the host that is the coordinator of the test group, or nil.
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

// other returns a host other than the given one.
func (f *fakeFleet) other(than *Host) *Host {
	for _, h := range f.all() {
		if h != than {
			return h
		}
	}
	return nil
}

// A partition separates the primary and one host from the replicas, the store and all other
// hosts. A replica is promoted and acknowledges new writes. The host on the old primary's side
// still reaches it, and it still reports itself as primary. Reads of the latest state on that
// host must fail rather than return data from the old log.
func TestHostPartitionedWithReplacedPrimaryReadsNoStaleData(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		coord := f.coordinatorHost()
		cutOff := f.other(coord)
		exec(cutOff, Write{})
		name := cutOff.settings.Host
		f.setFault(f.unreachable, name, true)
		f.setFault(f.storeSilentFor, name, true)
		s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
		for _, h := range f.all() {
			if h != cutOff {
				f.setFault(f.severed, h.settings.Host+" a", true)
			}
		}
		var written bool
		for range 300 {
			if !written && s.primaryID() != "a" {
				written = exec(coord, Write{}).Failure == nil
			}
			afterWrite := written
			if r := exec(cutOff, Read{}); r.Failure == nil && afterWrite && joinedRows(r) == "a" {
				t.Fatal("the replaced primary answered a read of the latest state")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !written {
			t.Error("no other member took over")
		}
		wantNoLostWrites(t, s)
	})
}

// A primary drains while a host that has a lease on it is unreachable, and at the same time a
// partition separates the primary from the other members. The coordinator must wait until that
// lease expires, since the host reads from the old primary until then, and no longer.
func TestSwitchoverWaitsForUnreturnedLease(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		coord := f.coordinatorHost()
		cutOff := f.other(coord)
		exec(cutOff, Write{})
		exec(coord, Write{})
		time.Sleep(time.Second)
		if r := exec(cutOff, Read{}); r.Failure != nil {
			t.Fatalf("the read failed: %v", r.Failure)
		}
		f.setFault(f.unreachable, cutOff.settings.Host, true)
		f.setFault(f.storeSilentFor, cutOff.settings.Host, true)
		s.writeMemberEntry("a", "draining")
		s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
		var written bool
		for start := time.Now(); time.Since(start) < leadership.LeaseDuration+probeInterval+promoteTime+100*time.Millisecond; {
			if !written && s.primaryID() != "a" {
				written = exec(coord, Write{}).Failure == nil
			}
			afterWrite := written
			if r := exec(cutOff, Read{}); r.Failure == nil && afterWrite && joinedRows(r) == "a" {
				t.Fatal("the replaced primary answered a read of the latest state")
			}
		}
		if !written {
			t.Error("no other member took over")
		}
		wantNoLostWrites(t, s)
	})
}

// A primary crashes while several hosts have leases on it. The coordinator revokes the leases,
// so the outage lasts for the platform's promotion time and not until the leases expire.
func TestLeasesAreReturnedBeforePromotion(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			exec(h, Read{})
		}
		time.Sleep(500 * time.Millisecond)
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		if took := awaitWrite(t, f.other(f.coordinatorHost()), 5*time.Second); took > promoteTime+400*time.Millisecond {
			t.Errorf("the outage lasted %s", took)
		}
		wantNoLostWrites(t, s)
	})
}

// The only replica that has received a caller's write restarts under the same ID with an empty
// log, and then the primary crashes. Both replicas answer and are fenced, but neither holds the
// write, so no member may be promoted until the primary is back.
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

// A replica restarts with an empty log before the store shows the restart. Its answers to the
// coordinator's probes, which show the shorter log, must be enough to prevent a promotion.
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

// A store outage lasts longer than the coordinator role is valid, so no leases are granted. All
// other members confirm that they follow, so reads of the latest state still run on the primary.
func TestReplicasConfirmPrimaryDuringStoreOutage(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.setDown(true)
		time.Sleep(coordinatorLeaseTTL + time.Second)
		if h.group(testGroup).hasLease("a", h.now()) {
			t.Fatal("the host still has a lease")
		}
		for range 20 {
			if r := exec(h, Read{}); r.Failure != nil || joinedRows(r) != "a" {
				t.Errorf("the read was answered with %v", r)
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.updateMember("c", func(m *fakeMember) { m.silent = true })
		time.Sleep(leadership.MaxCheckBackoff)
		if r := exec(h, Read{}); r.Failure == nil {
			t.Error("a read of the latest state was served although a silent member may be the primary")
		}
		s.setDown(false)
	})
}

// A lease must not outlast its two preconditions: the coordinator role of the granting host, and a
// primary that answers it.
func TestLeaseEndsWithCoordinatorRole(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Read{})
		s.setDown(true)
		time.Sleep(coordinatorLeaseTTL - 200*time.Millisecond)
		if got := h.GrantLease(LeaseRequest{Group: testGroup, Host: "h2"}); got.Granted > 300*time.Millisecond {
			t.Errorf("a lease of %s outlasts the coordinator role", got.Granted)
		}
		time.Sleep(400 * time.Millisecond)
		if got := h.GrantLease(LeaseRequest{Group: testGroup, Host: "h2"}); got.Granted > 0 {
			t.Errorf("a lease of %s was granted without the coordinator role", got.Granted)
		}
		s.setDown(false)
	})
}

// A host has no lease, since it lost contact with the coordinator, when a write is acknowledged
// to it. Meanwhile the coordinator has fenced a replica and reads from it the position that a
// successor must have, which lacks this write. The write must fail with
// an outcome in doubt.
func TestWriteWithoutLeaseIsConfirmedByReplicas(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.put(h.coordinatorKey(testGroup), []byte("h2"), 0)
		time.Sleep(leadership.LeaseDuration + 100*time.Millisecond)
		if r := exec(h, Write{}); r.Failure != nil {
			t.Errorf("a write that no replica contradicts failed: %v", r.Failure)
		}
		s.updateMember("c", func(m *fakeMember) { m.fenced = 2 })
		wantCode(t, exec(h, Write{}), InDoubt)
	})
}

// A replica is missing from the store and unreachable for the hosts, but it is alive and the only
// one that receives the primary's writes. Then the primary stops answering as well. The other
// replica answers but must not be promoted, since it lacks acknowledged writes.
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

// A fenced replica restarts before the other replica is fenced. It has lost its fence and receives
// from the primary again, so the positions that the two reported are not final, and the coordinator
// must not choose a successor by them.
func TestReplicaThatLostFenceIsNotCounted(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		w := &groupMonitor{coordinator: &coordinator{host: h, group: g, held: true, token: 1000}, primary: Member{ID: "a"}}
		fenced := g.controlAll([]Member{{ID: "b", Group: testGroup}, {ID: "c", Group: testGroup}}, Fence{Term: 2}, controlTimeout)
		s.updateMember("c", func(m *fakeMember) { m.fenced = 0 })
		if best, ok := w.chooseSuccessor(nil, w.confirmFences(2, fenced)); ok {
			t.Errorf("%s was chosen although a replica lost its fence", best)
		}
		g.controlAll([]Member{{ID: "c", Group: testGroup}}, Fence{Term: 2}, controlTimeout)
		if best, ok := w.chooseSuccessor(nil, w.confirmFences(2, fenced)); !ok || best != "b" {
			t.Errorf("successor is %q, %v; want b", best, ok)
		}
	})
}

// A primary goes missing from the store, becomes a replica of the next primary, acknowledges writes
// for it and ends. The log of a replica that receives nothing is then no longer sufficient, since the
// floor dates from before. The floor must be invalid as soon as another member is the primary.
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
			t.Errorf("the floor was valid: %v, then %v; want true, then false", before, after)
		}
	})
}

// The host has no lease, and the new primary resets its connections because it is at its connection
// limit. The other member does not know the new term yet. This must not confirm the old primary: only
// a member whose process has ended is known not to be the primary.
func TestConnectionResetDoesNotProveMemberEnded(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.put(h.coordinatorKey(testGroup), []byte("h2"), 0)
		time.Sleep(leadership.LeaseDuration + 100*time.Millisecond)
		s.updateMember("b", func(m *fakeMember) { m.resets = true })
		if r := exec(h, Read{}); r.Failure == nil {
			t.Error("a read was served although another member may be the primary")
		}
		s.updateMember("b", func(m *fakeMember) { m.resets, m.crashed = false, true })
		time.Sleep(leadership.MaxCheckBackoff)
		if r := exec(h, Read{}); r.Failure != nil {
			t.Errorf("a read failed although the only silent member has ended: %v", r.Failure)
		}
	})
}

// The coordinator grants a lease and revokes all leases while the grant is still in flight. The host
// must ignore the late grant, since the coordinator no longer waits for the lease to end.
func TestLateLeaseGrantAfterRevocationIsIgnored(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		requestedAt := h.now()
		granted := h.GrantLease(LeaseRequest{Group: testGroup, Host: "h1"})
		if granted.Granted == 0 {
			t.Fatal("no lease was granted")
		}
		for _, r := range []Revocation{{Planned: true, Target: "b"}, {Planned: true}, {}} {
			r.Group, r.Member = testGroup, "a"
			h.RevokeLease(r)
			g.applyLease(requestedAt, granted)
			if g.hasLease("a", h.now()) {
				t.Errorf("the late lease is valid after %+v", r)
			}
		}
	})
}

// The store is unavailable to a coordinator for longer than its role is valid. It continues to monitor
// the group, because the platform checks fencing tokens. Another coordinator may have promoted another
// member, so the position of the primary that this one sees must not be used as a sample.
func TestUncertainCoordinatorTakesNoSamples(t *testing.T) {
	withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.setDown(true)
		time.Sleep(coordinatorLeaseTTL + 2*time.Second)
		g := h.groups[testGroup]
		if _, at := g.newestSample(); h.now().Sub(at) < time.Second {
			t.Errorf("a sample of %s ago although the coordinator role is uncertain", h.now().Sub(at))
		}
		s.setDown(false)
	})
}

// A host without a lease has just confirmed the primary when another member is promoted and the old
// primary is partitioned. A read-write transaction first reads there. The earlier primary check must
// not suffice for it, as it does for a single write, which would hang on the old primary.
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
		session := openSession(t, h)
		execIn(session, Begin{})
		if r := execIn(session, Read{}); r.Failure == nil && joinedRows(r) == "a" {
			t.Error("the replaced primary answered")
		}
		session.Close()
	})
}

// setPrimaryForTest sets the group's primary, as on a host that has not learned of the next primary yet.
func (g *Group) setPrimaryForTest(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setPrimary(id, "test")
}

// After a store outage the members' entries expire and are written again at once. By then the primary
// has crashed, and a new coordinator acquires the role with its predecessor's record. The members'
// incarnations show that none of them restarted, so the replica that holds every write is promoted.
func TestExpiredEntriesLeaveFloorValid(t *testing.T) {
	// Members that report no incarnation may have restarted with an empty log.
	for incarnation, want := range map[int]string{0: "a", 7: "b"} {
		t.Run(fmt.Sprint("incarnation ", incarnation), func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				s := newFakeSite("a", "b", "c")
				s.setIncarnation(incarnation)
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
					t.Errorf("the primary is %q, want %q", got, want)
				}
				wantNoLostWrites(t, s)
				stop2()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// setIncarnation sets the incarnation that all members report in their store entries.
func (s *fakeSite) setIncarnation(incarnation int) {
	for _, m := range s.members {
		s.updateMember(m.id, func(m *fakeMember) { m.incarnation = incarnation })
		s.writeMemberEntry(m.id, "ready")
	}
}

// expireEntries removes the members' store entries one after the other, each for a moment.
func (s *fakeSite) expireEntries(ids ...string) {
	for _, id := range ids {
		s.writeMemberEntry(id, "")
		time.Sleep(50 * time.Millisecond)
		s.writeMemberEntry(id, "ready")
	}
}

// Guards against a write that a replaced primary acknowledges: a coordinator that can't reach the store promotes a replica, which
// is cut off from everything at that moment. The next coordinator sees the old primary lead and must not rely on it.
func TestHiddenPrimaryIsRuledOut(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		previous := f.coordinatorHost()
		name := previous.settings.Host
		exec(previous, Write{})
		f.setFault(f.storeSilentFor, name, true)
		f.setFault(f.unreachable, name, true)
		f.setFault(f.severed, name+" a", true)
		promoted := s.awaitPromotionOf("a")
		s.updateMember(promoted, func(m *fakeMember) { m.partitioned = true })
		for _, h := range f.all() {
			f.setFault(f.severed, h.settings.Host+" "+promoted, true)
		}
		took := awaitWrite(t, f.other(previous), 12*time.Second)
		t.Logf("a write succeeded after %s", took)
		wantNoLostWrites(t, s)
	})
}

// Guards against a lost write: a replica that was dead comes back without a fence, and confirms a write, during the promotion of a
// successor to a primary that only the coordinator does not reach.
func TestReplicaThatReturnsDuringAPromotionConfirmsNoWrite(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		coord := f.coordinatorHost()
		other := f.other(coord)
		exec(other, Write{})
		s.updateMember("c", func(m *fakeMember) { m.crashed = true })
		s.writeMemberEntry("c", "")
		time.Sleep(8 * time.Second)
		exec(other, Write{})
		f.setFault(f.unreachable, coord.settings.Host, true)
		f.setFault(f.severed, coord.settings.Host+" a", true)
		ordered := s.awaitPromotionOf("a")
		s.updateMember(ordered, func(m *fakeMember) { m.receivesNothing = true })
		s.updateMember("c", func(m *fakeMember) { m.crashed, m.fenced = false, 0 })
		s.writeMemberEntry("c", "ready")
		failed := map[Code]int{}
		for range 200 {
			if r := exec(other, Write{}); r.Failure != nil {
				failed[r.Failure.Code]++
			} else if strings.HasPrefix(r.Signature, "by a ") {
				t.Errorf("a acknowledged a write at %v that %s lacks", r.Position, ordered)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		if failed[InDoubt] == 0 {
			t.Errorf("no write reached a during the promotion: %v", failed)
		}
	})
}

// Guards against a primary that is promoted again and again, since the fences that are set for a hidden primary outlast its
// promotion where there was none.
func TestFencesForAHiddenPrimaryEnd(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.keepsLaterFences = true
		previous := f.coordinatorHost()
		name := previous.settings.Host
		exec(previous, Write{})
		s.updateMember("b", func(m *fakeMember) { m.silent = true })
		f.setFault(f.storeSilentFor, name, true)
		f.setFault(f.unreachable, name, true)
		for _, id := range []string{"a", "b", "c"} {
			f.setFault(f.severed, name+" "+id, true)
		}
		awaitWrite(t, f.other(previous), 15*time.Second)
		time.Sleep(10 * time.Second)
		if r := exec(f.other(previous), Write{}); r.Failure != nil {
			t.Errorf("a write fails 10 s later: %v", r.Failure)
		}
		if requests := s.promotionRequests(); len(requests) > 2 {
			t.Errorf("promotions %v were requested, want two at most", requests)
		}
		wantNoLostWrites(t, s)
	})
}
