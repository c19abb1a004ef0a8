package gateway

import (
	"sync"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

// loadPrimary keeps eight readers busy for the duration, while writes continue.
func loadPrimary(h *Host, d time.Duration) (wait func()) {
	var readers sync.WaitGroup
	started := time.Now()
	for range 8 {
		readers.Go(func() {
			for time.Since(started) < d {
				serveBurst([]*Host{h}, []int{1})
			}
		})
	}
	readers.Go(func() { sendWrites(h, int(d/(60*time.Millisecond))) })
	return readers.Wait
}

// A burst saturates the primary, since one replica lags and the other one can't be used either, each time for another cause.
// A coordinator that counted lag alone left the primary to carry all reads for the whole burst. It must start the
// switchover within a second, to the replica that lags: it is up to date once it leads.
func TestPrimaryIsRelievedWhileReplicasCannotBeUsed(t *testing.T) {
	set := func(change func(*fakeMember)) func(*fakeSite) {
		return func(s *fakeSite) { s.updateMember("c", change) }
	}
	for _, c := range []struct {
		name  string
		fault func(*fakeSite)
	}{
		{"does not answer", set(func(m *fakeMember) { m.silent = true })},
		{"refuses connections", set(func(m *fakeMember) { m.crashed = true })},
		{"resets connections", set(func(m *fakeMember) { m.resets = true })},
		{"flaps", func(s *fakeSite) {
			for i := range 20 {
				time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() {
					s.updateMember("c", func(m *fakeMember) { m.crashed = !m.crashed })
				})
			}
		}},
		{"is gone for long", func(s *fakeSite) {
			s.updateMember("c", func(m *fakeMember) { m.crashed = true })
			s.writeMemberEntry("c", "")
			time.Sleep(missingMemberRetention + time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) { wantRelief(t, s, h, c.fault) })
		})
	}
}

// wantRelief checks that b, which lags, is promoted once while the fault affects c.
func wantRelief(t *testing.T, s *fakeSite, h *Host, fault func(*fakeSite)) {
	t.Helper()
	s.updateMember("b", func(m *fakeMember) { m.lagging = true })
	sendWrites(h, 40) // the replica's last position is older than a second
	fault(s)
	wait := loadPrimary(h, 4*time.Second)
	took := waitFor(t, func() bool { return len(s.promotionRequests()) > 0 })
	if took > time.Second+controlTimeout { // the switchover starts with an attempt to fence the replica
		t.Errorf("the promotion was requested after %s", took)
	}
	wait()
	if id := s.primaryID(); id != "b" {
		t.Errorf("%q leads", id)
	}
	if n := len(s.promotionRequests()); n > 2 {
		t.Errorf("%d promotions were requested: %v", n, s.promotionRequests())
	}
	wantNoLostWrites(t, s)
}

// The primary's queue is so full that it refuses probes, while it answers callers. Its load was never examined then, so that
// it was not relieved as long as the burst lasted.
func TestPrimaryTooBusyForProbesIsRelieved(t *testing.T) {
	withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) {
		wantRelief(t, s, h, func(s *fakeSite) {
			s.updateMember("a", func(m *fakeMember) { m.refusesProbes = true })
			s.updateMember("c", func(m *fakeMember) { m.crashed = true })
		})
	})
}

// A replica that serves reads is reason enough to keep the primary, whatever the other one does.
func TestPrimaryIsKeptWhileAReplicaServes(t *testing.T) {
	withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) {
		s.updateMember("c", func(m *fakeMember) { m.crashed = true })
		loadPrimary(h, 4*time.Second)()
		if requests := s.promotionRequests(); len(requests) > 0 {
			t.Errorf("promotions were requested: %v", requests)
		}
	})
}

// Guards against a switchover without an effective fence: the replicas have received nothing since the primary was promoted,
// and still know the term before. A fence of the primary's own term stops no replica from receiving from it.
func TestSwitchoverFencesAboveThePrimarysTerm(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.term = 2 })
		s.writeMemberEntry("a", "draining")
		var fence group.Term
		for started := time.Now(); s.primaryID() == "a" && time.Since(started) < 3*time.Second; time.Sleep(time.Millisecond) {
			for _, id := range []string{"b", "c"} {
				s.updateMember(id, func(m *fakeMember) { fence = max(fence, m.fenced) })
			}
		}
		if fence <= 2 {
			t.Errorf("the highest fence during the switchover was that of term %d, and the primary had term 2", fence)
		}
	})
}
