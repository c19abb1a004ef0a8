package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
)

// awaitWrite writes until a write succeeds, and returns how long that took.
func awaitWrite(t *testing.T, h *Host, within time.Duration) time.Duration {
	t.Helper()
	started := time.Now()
	for time.Since(started) < within {
		if r := exec(h, Write{}); r.Failure == nil {
			return time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("no write succeeded within %s", within)
	return within
}

// sendWrites sends a number of writes, twenty a second.
func sendWrites(h *Host, times int) {
	for range times {
		exec(h, Write{})
		time.Sleep(50 * time.Millisecond)
	}
}

func wantNoLostWrites(t *testing.T, s *fakeSite) {
	t.Helper()
	if lost := s.lostWrites(); len(lost) > 0 {
		t.Errorf("the primary %s lacks acknowledged writes %v", s.primaryID(), lost)
	}
}

// An instructor's booking meets a primary whose process has ended: connections are
// refused. The next booking must be served by a replica that holds all that was
// acknowledged, soon after the platform's time for a promotion.
func TestCrashedPrimaryIsReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		if took := awaitWrite(t, h, 5*time.Second); took > promoteTime+500*time.Millisecond {
			t.Errorf("the gap was %s", took)
		}
		wantNoLostWrites(t, s)
	})
}

// The primary goes dark: nothing is refused, nothing answered. Callers wait, and two
// unanswered rounds of questions must be enough to replace it.
func TestSilentPrimaryIsReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.silent = true })
		if took := awaitWrite(t, h, 8*time.Second); took > promoteTime+2500*time.Millisecond {
			t.Errorf("the gap was %s", took)
		}
		wantNoLostWrites(t, s)
	})
}

// A primary answers, but no replica receives from it, so its writes hang. It must be
// replaced, and the caller whose write hung must not be told that it did not run.
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
			t.Error("the primary that nobody receives from still leads")
		}
		if n := len(s.promotionOrders()); n > 1 {
			t.Errorf("%d orders for one change of primary", n)
		}
		wantNoLostWrites(t, s)
	})
}

// A caller's write was acknowledged by the one replica that receives while the other
// is deaf. That replica drains and ends with its log, then the primary crashes. The
// deaf replica answers, and has the longest log of all that are left: promoting it
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
			t.Error("the deaf replica was promoted")
		}
	})
}

// The members of a group are replaced one after the other. The primary drains: it
// serves on while a replica takes over, and no caller gets an error.
func TestLeavingPrimarySwitchesOver(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.writeMemberEntry("a", "draining")
		for range 40 {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("a write during the hand-over failed: %v", r.Failure)
			}
			time.Sleep(25 * time.Millisecond)
		}
		if s.primaryID() == "a" {
			t.Error("the leaving primary still leads")
		}
		wantNoLostWrites(t, s)
	})
}

// The platform answers no order and carries each out seconds later. The old primary is
// back before that, and the replica that was ordered to lead receives nothing from it.
// If the fences ended, the primary would acknowledge writes with the other replica that
// are lost when the order is carried out.
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

// The platform loses sight of a primary that serves. It must go on to serve until
// another one leads, and no caller may see a gap.
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

// A primary's queue is full: it refuses status questions and statements, and runs
// others. That is no reason to replace it, which would cost callers a gap.
func TestBusyPrimaryIsNotReplaced(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.full = true })
		sendWrites(h, 40)
		for _, o := range s.promotionOrders() {
			t.Errorf("order %q", o)
		}
	})
}

// A host starts while only the primary has registered. It must not take a primary
// without listed replicas for one that is cut off, and demote it.
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
			t.Errorf("%q leads, and a was demoted %d times", s.primaryID(), demoted)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// The holder of the duty dies together with the primary, without giving the duty back.
// Another host must take it once the lease has run out, and replace the primary.
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
		time.Sleep(coordinatorLeaseTTL + acceptedPromotionDelay + 2*time.Second)
		if got := s.primaryID(); got != "b" && got != "c" {
			t.Errorf("%q leads", got)
		}
		wantNoLostWrites(t, s)
		delete(stop, holder)
		for _, f := range stop {
			f()
		}
		time.Sleep(10 * time.Second)
	})
}

// The platform loses sight of a primary, and a replica takes over while the other one
// is deaf. The old primary goes on as a replica, then it crashes, and the new primary
// too. The deaf replica alone answers; it lacks what the two had acknowledged.
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
			t.Fatalf("%q leads, want b", s.primaryID())
		}
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		time.Sleep(200 * time.Millisecond)
		s.updateMember("b", func(m *fakeMember) { m.crashed = true })
		time.Sleep(8 * time.Second)
		if s.primaryID() == "c" {
			t.Error("the deaf replica was promoted")
		}
	})
}

// The primary drains while one replica is dead: nobody can tell what that one had
// acknowledged. The primary is demoted, and the other replica leads if it holds as much.
func TestSwitchoverWithDeadReplica(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("b", func(m *fakeMember) { m.crashed = true })
		s.writeMemberEntry("a", "draining")
		time.Sleep(2 * time.Second)
		if s.primaryID() != "c" {
			t.Errorf("%q leads, want c", s.primaryID())
		}
		wantNoLostWrites(t, s)
	})
}

// The store was away, and all members' entries lapsed meanwhile; they are back a second
// after its return. Callers must not notice: the members served all the time.
func TestLapsedMemberEntriesKeepServing(t *testing.T) {
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
			t.Errorf("%q leads", s.primaryID())
		}
	})
}

// A holder asks the members, and before it fences them another one comes to lead, by an
// order that was carried out late. It must not be taken for a fenced replica: it goes on
// to acknowledge, and whoever was promoted in its place would lack that.
func TestFailoverStopsWhenAnotherMemberLeads(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		w := &groupMonitor{coordinator: &coordinator{host: h, group: g, held: true, token: 1000}, primary: Member{ID: "a"}}
		answers := g.controlAll(g.listMembers(), Probe{}, controlTimeout)
		s.makePrimary(s.member("c"))
		before := len(s.promotionOrders())
		w.failover(context.Background(), h.now(), answers)
		if orders := s.promotionOrders()[before:]; len(orders) > 0 {
			t.Errorf("orders %v while c leads", orders)
		}
		wantNoLostWrites(t, s)
	})
}

// One replica has died, and the other one receives nothing, so writes hang at a primary
// that answers. Promoting the deaf replica helps nobody. The dead one comes back to the
// primary just then and acknowledges a write; callers of a promoted deaf replica would
// not find it.
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
		for _, o := range s.promotionOrders() {
			if o != "h1 a" {
				t.Errorf("order %q", o)
			}
		}
		wantNoLostWrites(t, s)
	})
}

// The primary drains while the only replica that answers is deaf. It must not take over:
// what the other replica acknowledges when it comes back would be missing.
func TestSwitchoverWaitsForTargetThatReceivesNothing(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("b", func(m *fakeMember) { m.crashed = true })
		s.writeMemberEntry("b", "")
		time.Sleep(missingMemberGrace + missingMemberRetention)
		exec(h, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
		exec(h, Write{}) // hangs: the primary alone holds it
		s.writeMemberEntry("a", "draining")
		time.Sleep(2 * time.Second)
		if s.primaryID() == "c" {
			t.Error("the deaf replica took over")
		}
	})
}

// A leaving primary has handed over to its heir, which the holder of the duty then does not reach for a
// moment. It took the old primary, which answered that it follows, for a lost one: it took the leases on
// the heir back, found that the heir leads, and never believed it again. Callers were refused for ever.
func TestBrieflySilentSwitchoverTargetStaysPrimary(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.writeMemberEntry("a", "draining")
		for s.primaryID() != "b" && s.primaryID() != "c" {
			time.Sleep(time.Millisecond)
		}
		heir := s.primaryID()
		time.Sleep(promotionPollInterval)
		s.updateMember(heir, func(m *fakeMember) { m.silent = true })
		time.Sleep(probeInterval + controlTimeout + 50*time.Millisecond)
		s.updateMember(heir, func(m *fakeMember) { m.silent = false })
		time.Sleep(4 * time.Second)
		if r := exec(h, Write{}); r.Failure != nil {
			t.Errorf("a write: %v", r.Failure)
		}
		wantNoLostWrites(t, s)
	})
}
