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

// The primary goes dark, and the host that holds the duty ends before it has replaced it.
// The next holder has never spoken to the primary. What a successor must hold stands in the
// store, so it need not wait for the old primary to come back.
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
		time.Sleep(coordinatorLeaseTTL + acceptedPromotionDelay + 3*time.Second)
		if got := s.primaryID(); got != "b" {
			t.Errorf("%q leads, want b", got)
		}
		wantNoLostWrites(t, s)
		stop2()
		time.Sleep(20 * time.Second)
	})
}

// The platform checks no tokens, leaves an order unanswered and carries it out three seconds
// later. The holder dies right after it, and the old primary comes back. The next holder must
// know of the order: if it let the old primary acknowledge writes with the other replica,
// they would be lost.
func TestNewCoordinatorKnowsPendingPromotion(t *testing.T) {
	testPendingPromotion(t, func(*fakeSite, storeBackup) {})
}

// testPendingPromotion lets a holder order the promotion of b late, end, and another one take over, after a mishap of the store,
// of which there is a copy from before the order. Nothing that is acknowledged then may be lost.
func testPendingPromotion(t *testing.T, mishap func(*fakeSite, storeBackup)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		s.ignoresTokens = true
		h1, stop1 := startHost(s, "h1", freshness.Latest{})
		h2, stop2 := startHost(s, "h2", freshness.Latest{})
		stop, left := map[string]func(){"h1": stop1, "h2": stop2}, map[string]*Host{"h1": h2, "h2": h1}
		time.Sleep(3 * time.Second)
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = true }) // so that the order is for b
		exec(h2, Write{})
		s.updateMember("c", func(m *fakeMember) { m.receivesNothing = false })
		b := s.backup()
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
		mishap(s, b)
		s.updateMember("a", func(m *fakeMember) { m.silent = false })
		s.updateMember("b", func(m *fakeMember) { m.receivesNothing = true })
		time.Sleep(time.Second) // fences that were left behind are released
		sendWrites(left[holder], 160)
		wantNoLostWrites(t, s)
		for _, f := range stop {
			f()
		}
		time.Sleep(20 * time.Second)
	})
}

// The record of a holder reads back as it was written.
func TestRecordRoundTrip(t *testing.T) {
	r := leadership.Record{
		Holder: "h1", Term: 3, Floor: group.Position{Term: 2, LSN: 77}, PendingPromotion: "b",
		Members: []leadership.Incarnation{{Member: "a", Born: 5}, {Member: "b"}},
	}
	value, err := encodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeRecord(value)
	if err != nil || !got.SameMembers(r.Members) || got.PendingPromotion != "b" || got.Floor != r.Floor || got.Term != r.Term || got.Holder != "h1" {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := decodeRecord([]byte("{")); err == nil {
		t.Error("a broken record was read")
	}
}

// A holder took the leases back to replace a primary, and ended before it ordered anything. The
// host that takes the duty over had given its lease back, and believes in no primary since. If the
// old one answers, it must lead on; if not, another must take over.
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
				h2.RevokeLease(testGroup, "a", false)
				stop1()
				awaitWrite(t, h2, 6*time.Second)
				if took := s.primaryID() != "a"; took != silent {
					t.Errorf("%q leads", s.primaryID())
				}
				wantNoLostWrites(t, s)
				stop2()
				time.Sleep(20 * time.Second)
			})
		})
	}
}
