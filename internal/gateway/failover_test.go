package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/leadership"
)

// awaitWrite repeats a write until it succeeds, and returns how long that took. It fails the test after the timeout.
func awaitWrite(t *testing.T, h *Host, timeout time.Duration) time.Duration {
	t.Helper()
	started := time.Now()
	for time.Since(started) < timeout {
		if r := exec(h, Write{}); r.Failure == nil {
			return time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("no write succeeded within %s", timeout)
	return timeout
}

// sendWrites sends n writes, with a pause of 50 ms after each.
func sendWrites(h *Host, n int) {
	for range n {
		exec(h, Write{})
		time.Sleep(50 * time.Millisecond)
	}
}

// wantNoLostWrites checks that the primary has every acknowledged write.
func wantNoLostWrites(t *testing.T, s *fakeSite) {
	t.Helper()
	if lost := s.lostWrites(); len(lost) > 0 {
		t.Errorf("the primary %s lacks acknowledged writes %v", s.primaryID(), lost)
	}
}

// The primary's process has ended, so that connections are refused. Soon after the time that the platform takes for a
// promotion, writes must be served by a replica that has everything that was acknowledged.
func TestCrashedPrimaryIsReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		if took := awaitWrite(t, h, 5*time.Second); took > promoteTime+500*time.Millisecond {
			t.Errorf("no write succeeded for %s", took)
		}
		wantNoLostWrites(t, s)
	})
}

// The primary neither refuses connections nor answers, so that callers wait. Two unanswered probe rounds must be enough to
// replace it.
func TestSilentPrimaryIsReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.silent = true })
		if took := awaitWrite(t, h, 8*time.Second); took > promoteTime+2500*time.Millisecond {
			t.Errorf("no write succeeded for %s", took)
		}
		wantNoLostWrites(t, s)
	})
}

// The primary answers, but no replica receives from it, so its writes hang. It must be replaced, and the caller whose write
// hung must not be told that the write did not run.
func TestPrimaryCutOffFromItsReplicasIsReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.receivesNothing = true })
		}
		if r := exec(h, Write{}); r.Failure == nil || r.Failure.Code != InDoubt {
			t.Errorf("the hanging write was answered with %v", r.Failure)
		}
		time.Sleep(3 * time.Second)
		if s.primaryID() == "a" {
			t.Error("the primary that no replica receives from is still the primary")
		}
		if n := len(s.promotionRequests()); n > 1 {
			t.Errorf("%d promotion requests for one change of the primary", n)
		}
		wantNoLostWrites(t, s)
	})
}

// A write was acknowledged by the only replica that receives. That replica drains and ends with its log, then the primary
// crashes. The replica that receives nothing answers and has the longest log of the remaining members, but promoting it
// would lose the write.
func TestDepartedReplicaMayHoldTheOnlyCopy(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("b", func(m *fakeMember) { m.receivesNothing = true })
		s.writeMemberEntry("c", "draining")
		exec(h, Write{})
		s.writeMemberEntry("c", "")
		s.updateMember("c", func(m *fakeMember) { m.crashed = true })
		time.Sleep(time.Second)
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		time.Sleep(6 * time.Second)
		if s.primaryID() == "b" {
			t.Error("the replica that receives nothing was promoted")
		}
	})
}

// The members of a group are replaced one after the other. A draining primary continues to serve while a replica takes
// over, and no caller gets an error.
func TestLeavingPrimarySwitchesOver(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.writeMemberEntry("a", "draining")
		for range 40 {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("a write during the switchover failed: %v", r.Failure)
			}
			time.Sleep(25 * time.Millisecond)
		}
		if s.primaryID() == "a" {
			t.Error("the leaving primary is still the primary")
		}
		wantNoLostWrites(t, s)
	})
}

// The platform leaves promotion requests unanswered and carries them out seconds later. The old primary is back before that,
// and the replica to be promoted receives nothing from it. If the other replica's fence were released, the primary would
// acknowledge writes with it that are lost when the promotion is carried out.
func TestDelayedPromotionsLoseNoWrites(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.mu.Lock()
		s.promotionDelay = 1700 * time.Millisecond
		s.mu.Unlock()
		s.updateMember("a", func(m *fakeMember) { m.silent = true })
		time.Sleep(1500 * time.Millisecond)
		s.updateMember("a", func(m *fakeMember) { m.silent = false })
		s.updateMember("b", func(m *fakeMember) { m.receivesNothing = true })
		sendWrites(h, 100)
		wantNoLostWrites(t, s)
	})
}

// The platform no longer lists a primary that serves. It must continue to serve until another member is the primary,
// without an interruption for callers.
func TestMissingPrimaryServesUntilItIsReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.writeMemberEntry("a", "")
		for range 100 {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Fatalf("a write failed: %v", r.Failure)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if s.primaryID() == "a" {
			t.Error("a primary that the platform does not list was not replaced")
		}
		wantNoLostWrites(t, s)
	})
}

// The primary's queue is full, so that it refuses probes and some statements, and runs others. It must not be replaced for
// that, since a replacement interrupts service.
func TestBusyPrimaryIsNotReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.full = true })
		sendWrites(h, 40)
		for _, o := range s.promotionRequests() {
			t.Errorf("unexpected promotion request %q", o)
		}
	})
}

// A host starts while only the primary is registered. It must not mistake a primary without listed replicas for one that is
// cut off from its replicas, and demote it.
func TestPrimaryListedBeforeReplicasIsKept(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		s.writeMemberEntry("b", "")
		s.writeMemberEntry("c", "")
		_, stop := startHost(s, "h1", freshness.Latest{})
		time.Sleep(4 * time.Second)
		s.writeMemberEntry("b", "ready")
		s.writeMemberEntry("c", "ready")
		time.Sleep(2 * time.Second)
		demoted := 0
		s.updateMember("a", func(m *fakeMember) { demoted = m.demoted })
		if s.primaryID() != "a" || demoted > 0 {
			t.Errorf("%q is the primary, want a, and a was demoted %d times", s.primaryID(), demoted)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// The coordinator stops together with the primary. Another host must acquire the role once the lease has ended, and replace
// the primary.
func TestAnotherHostBecomesCoordinator(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		_, stop1 := startHost(s, "h1", freshness.Latest{})
		h2, stop2 := startHost(s, "h2", freshness.Latest{})
		time.Sleep(3 * time.Second)
		exec(h2, Write{})
		s.mu.Lock()
		holder := string(s.items["own/duty/"+testGroup].Value)
		s.mu.Unlock()
		stop := map[string]func(){"h1": stop1, "h2": stop2}
		stop[holder]()
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		time.Sleep(coordinatorLeaseTTL + leadership.PromotionDelay + 2*time.Second)
		if got := s.primaryID(); got != "b" && got != "c" {
			t.Errorf("%q is the primary, want b or c", got)
		}
		wantNoLostWrites(t, s)
		delete(stop, holder)
		for _, f := range stop {
			f()
		}
		time.Sleep(10 * time.Second)
	})
}

// The platform no longer lists the primary, and a replica takes over while the other one receives nothing. The old primary
// continues as a replica, then it and the new primary crash. Only the replica that receives nothing still answers, but it
// lacks what the other two acknowledged.
func TestSecondFailoverSkipsReplicaThatReceivesNothing(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
		for range 5 {
			exec(h, Write{})
		}
		s.writeMemberEntry("a", "")
		time.Sleep(missingMemberGrace + time.Second)
		if s.primaryID() != "b" {
			t.Fatalf("%q is the primary, want b", s.primaryID())
		}
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		time.Sleep(200 * time.Millisecond)
		s.updateMember("b", func(m *fakeMember) { m.crashed = true })
		time.Sleep(8 * time.Second)
		if s.primaryID() == "c" {
			t.Error("the replica that receives nothing was promoted")
		}
	})
}

// The primary drains while one replica is dead, so that it is unknown what that replica acknowledged. The primary is
// demoted, and the other replica is promoted if it holds as much as the primary.
func TestSwitchoverWithDeadReplica(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("b", func(m *fakeMember) { m.crashed = true })
		s.writeMemberEntry("a", "draining")
		time.Sleep(2 * time.Second)
		if s.primaryID() != "c" {
			t.Errorf("%q is the primary, want c", s.primaryID())
		}
		wantNoLostWrites(t, s)
	})
}

// All members' entries expired during an outage of the store, and are back a second after it. Callers must not notice, since
// the members served all the time.
func TestMembersWithLapsedEntriesKeepServing(t *testing.T) {
	withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		for _, id := range []string{"a", "b", "c"} {
			s.writeMemberEntry(id, "")
		}
		for range 20 {
			for _, st := range []Statement{Read{}, Write{}} {
				if r := exec(h, st); r.Failure != nil {
					t.Errorf("%T failed: %v", st, r.Failure)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, id := range []string{"a", "b", "c"} {
			s.writeMemberEntry(id, "ready")
		}
		time.Sleep(5 * time.Second)
		if s.primaryID() != "a" {
			t.Errorf("%q is the primary, want a", s.primaryID())
		}
	})
}

// A coordinator probes the members, and before it fences them another member becomes primary by a delayed promotion. That
// member must not be treated as a fenced replica: it continues to acknowledge writes, which a member promoted in its
// place would lack.
func TestFailoverStopsWhenAnotherMemberLeads(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		w := &groupMonitor{coordinator: &coordinator{host: h, group: g, held: true, token: 1000}, primary: Member{ID: "a"}}
		answers := g.controlAll(g.listMembers(), Probe{}, controlTimeout)
		s.makePrimary(s.member("c"))
		before := len(s.promotionRequests())
		w.failover(context.Background(), h.now(), answers)
		if requests := s.promotionRequests()[before:]; len(requests) > 0 {
			t.Errorf("promotion requests %v while c is the primary", requests)
		}
		wantNoLostWrites(t, s)
	})
}

// One replica has died and the other receives nothing, so writes hang at a primary that answers. Promoting the replica that
// receives nothing does not help. If the dead replica came back to the primary just then and acknowledged a write, the
// promoted replica would lack it.
func TestHangingPrimaryIsKeptWhileAReplicaIsDead(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("b", func(m *fakeMember) { m.crashed = true })
		s.writeMemberEntry("b", "")
		time.Sleep(missingMemberGrace + missingMemberRetention)
		exec(h, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
		wantCode(t, exec(h, Write{}), InDoubt)
		time.Sleep(2 * time.Second)
		s.updateMember("b", func(m *fakeMember) { m.crashed = false })
		s.writeMemberEntry("b", "ready")
		awaitWrite(t, h, 3*time.Second)
		time.Sleep(time.Second)
		for _, o := range s.promotionRequests() {
			if o != "h1 a" {
				t.Errorf("unexpected promotion request %q", o)
			}
		}
		wantNoLostWrites(t, s)
	})
}

// The primary drains while the only replica that answers receives nothing. That replica must not take over: it would lack
// what the other replica acknowledges when it comes back.
func TestSwitchoverWaitsForTargetThatReceivesNothing(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("b", func(m *fakeMember) { m.crashed = true })
		s.writeMemberEntry("b", "")
		time.Sleep(missingMemberGrace + missingMemberRetention)
		exec(h, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
		exec(h, Write{}) // hangs, and only the primary holds it
		s.writeMemberEntry("a", "draining")
		time.Sleep(2 * time.Second)
		if s.primaryID() == "c" {
			t.Error("the replica that receives nothing took over")
		}
	})
}

// After a switchover the coordinator briefly does not reach the new primary. The old primary answers as a replica. If the
// coordinator treats it as a lost primary, it revokes the leases on the switchover target, finds that the target is the
// primary and never trusts it again, so that callers are refused forever.
func TestBrieflySilentSwitchoverTargetStaysPrimary(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.writeMemberEntry("a", "draining")
		for s.primaryID() != "b" && s.primaryID() != "c" {
			time.Sleep(time.Millisecond)
		}
		target := s.primaryID()
		time.Sleep(promotionPollInterval)
		s.updateMember(target, func(m *fakeMember) { m.silent = true })
		time.Sleep(probeInterval + controlTimeout + 50*time.Millisecond)
		s.updateMember(target, func(m *fakeMember) { m.silent = false })
		time.Sleep(4 * time.Second)
		if r := exec(h, Write{}); r.Failure != nil {
			t.Errorf("a write failed: %v", r.Failure)
		}
		wantNoLostWrites(t, s)
	})
}

// Guards against a switchover that counts as done although the platform refused its promotion: the overloaded primary would
// not be relieved again for as long as after one that succeeded.
func TestRefusedPromotionIsNotRequested(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		d := h.coordinatorOf(testGroup)
		m := &groupMonitor{coordinator: d, roundAcquiredAt: d.acquiredTime()}
		if err := s.RaiseToken(t.Context(), "", 1<<40, testGroup); err != nil {
			t.Fatal(err)
		}
		if got := m.promote(context.Background(), "b", successorChoice{}); got != promotionNotRequested {
			t.Errorf("a refused promotion has the outcome %v, want %v", got, promotionNotRequested)
		}
	})
}

// Guards against a failover because of one reset: a member resets connections over its limit, and the process that did is alive.
func TestResetOfControlConnectionStartsNoFailover(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		for range 5 {
			s.updateMember("a", func(m *fakeMember) { m.resetsControl = 1 })
			time.Sleep(2 * time.Second)
		}
		if requests := s.promotionRequests(); len(requests) > 0 {
			t.Errorf("promotions %v were requested", requests)
		}
	})
}

// Guards against an unanswered promotion request that is carried out after a later change of primary: its member leads again
// without the writes that were acknowledged meanwhile.
func TestLateDuplicateOfAPromotionLosesNoWrites(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.mu.Lock()
		s.lateRequests = 1
		s.mu.Unlock()
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		awaitWrite(t, h, 4*time.Second)
		first := s.primaryID()
		s.updateMember("a", func(m *fakeMember) { m.crashed, m.isPrimary = false, false })
		time.Sleep(time.Second)
		s.writeMemberEntry(first, "draining")
		for range 200 {
			if s.primaryID() != first {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		s.updateMember(first, func(m *fakeMember) { m.receivesNothing = true })
		for range 400 {
			exec(h, Write{})
			time.Sleep(10 * time.Millisecond)
		}
		wantNoLostWrites(t, s)
	})
}
