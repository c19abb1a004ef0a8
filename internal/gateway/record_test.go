package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/leadership"
	"pearlatch/internal/recordcodec"
)

// The primary stops answering, and the coordinator stops before it has replaced it. The next coordinator has never reached
// the primary. The requirements for a successor are in the store, so it need not wait for the old primary to come back.
func TestNewCoordinatorInheritsSuccessorRequirements(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		h1, stop1 := startHost(s, "h1", freshness.Latest{})
		time.Sleep(3 * time.Second)
		_, stop2 := startHost(s, "h2", freshness.Latest{})
		exec(h1, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true })
		exec(h1, Write{})
		time.Sleep(time.Second)
		s.updateMember("a", func(m *fakeMember) { m.silent = true })
		stop1()
		time.Sleep(coordinatorLeaseTTL + leadership.PromotionDelay + 3*time.Second)
		if got := s.primaryID(); got != "b" {
			t.Errorf("%q leads, want b", got)
		}
		wantNoLostWrites(t, s)
		stop2()
		time.Sleep(20 * time.Second)
	})
}

// The platform checks no tokens, leaves a promotion request unanswered and carries it out three seconds later. The
// coordinator dies right after the request, and the old primary comes back. The next coordinator must know of the request:
// writes that the old primary acknowledged with the other replica would be lost by the late promotion.
func TestNewCoordinatorKnowsPendingPromotion(t *testing.T) {
	testPendingPromotion(t, func(*fakeSite, storeBackup) {})
}

// testPendingPromotion lets a coordinator request a promotion of b that the platform delays, and stop. Then it calls
// storeFault, with a backup of the store from before the request, and lets another host become coordinator. No write that
// is acknowledged after that may be lost.
func testPendingPromotion(t *testing.T, storeFault func(*fakeSite, storeBackup)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		s.ignoresTokens = true
		h1, stop1 := startHost(s, "h1", freshness.Latest{})
		h2, stop2 := startHost(s, "h2", freshness.Latest{})
		stop, other := map[string]func(){"h1": stop1, "h2": stop2}, map[string]*Host{"h1": h2, "h2": h1}
		time.Sleep(3 * time.Second)
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true }) // so that b is chosen
		exec(h2, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = false })
		backup := s.backup()
		s.mu.Lock()
		holder := string(s.items["own/duty/"+testGroup].Value)
		s.promotionDelay = 6 * time.Second
		s.mu.Unlock()
		s.updateMember("a", func(m *fakeMember) { m.silent = true })
		time.Sleep(1300 * time.Millisecond)
		stop[holder]()
		delete(stop, holder)
		s.mu.Lock()
		s.promotionDelay = 0
		s.mu.Unlock()
		storeFault(s, backup)
		s.updateMember("a", func(m *fakeMember) { m.silent = false })
		s.updateMember("b", func(m *fakeMember) { m.receivesNothing = true })
		time.Sleep(time.Second) // until stale fences are released
		sendWrites(other[holder], 160)
		wantNoLostWrites(t, s)
		for _, f := range stop {
			f()
		}
		time.Sleep(20 * time.Second)
	})
}

// A coordinator revoked the leases to replace a primary, and stopped before it requested a promotion. The host that acquires
// the role had its own lease revoked, and has known no primary since. If the old primary answers, it must continue to lead;
// if not, another member must be promoted.
func TestNewCoordinatorResumesWhereLastStopped(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				s := newFakeSite("a", "b", "c")
				_, stop1 := startHost(s, "h1", freshness.Latest{})
				time.Sleep(3 * time.Second)
				h2, stop2 := startHost(s, "h2", freshness.Latest{})
				exec(h2, Write{})
				time.Sleep(time.Second)
				s.updateMember("a", func(m *fakeMember) { m.silent = silent })
				h2.RevokeLease(Revocation{Group: testGroup, Member: "a"})
				stop1()
				awaitWrite(t, h2, 6*time.Second)
				if replaced := s.primaryID() != "a"; replaced != silent {
					t.Errorf("%q leads", s.primaryID())
				}
				wantNoLostWrites(t, s)
				stop2()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against a recorded promotion that is overwritten: a write of the record for another reason, such as a host that may
// get quotas, began from the record before. The next coordinator would not know of the promotion.
func TestRecordedPromotionIsNotOverwritten(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		time.Sleep(time.Second)
		h.mu.Lock()
		w := &groupMonitor{coordinator: h.coordinators[testGroup]}
		h.mu.Unlock()
		before, ok := w.currentRecord()
		if !ok {
			t.Fatal("the record is not known")
		}
		if err := w.recordPromotion(context.Background(), "b"); err != nil {
			t.Fatal(err)
		}
		if err := w.saveRecord(context.Background(), before); err == nil {
			t.Error("a record that was changed meanwhile was written")
		}
		s.mu.Lock()
		value := s.items[h.recordKey(testGroup)].Value
		s.mu.Unlock()
		if r, err := recordcodec.Decode(value); err != nil || r.PendingPromotion != "b" {
			t.Errorf("the recorded promotion is %q, %v", r.PendingPromotion, err)
		}
	})
}
