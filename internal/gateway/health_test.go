package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// probeCount returns how often the members were asked for their status.
func (s *fakeSite) probeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// Callers keep a group busy, and all is well. The holder of the duty asks the members seldom:
// each question takes one of their slots. Without callers it asks seldom too, but it does: a primary
// that is lost meanwhile should be replaced before the next caller comes.
func TestCoordinatorProbesRarelyWhileTrafficIsHealthy(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		busy := func() int {
			before := s.probeCount()
			for range 100 {
				exec(h, Write{})
				time.Sleep(40 * time.Millisecond)
			}
			return s.probeCount() - before
		}
		exec(h, Write{})
		if n := busy(); n > 15 {
			t.Errorf("%d questions in five seconds with callers", n)
		}
		before := s.probeCount()
		time.Sleep(5 * time.Second)
		if n := s.probeCount() - before; n < 9 || n > 18 {
			t.Errorf("%d questions in five seconds without callers", n)
		}
	})
}

// Reads are served, and writes hang since no replica receives. That must not count as well.
func TestHangingWritesAreUnhealthy(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.receivesNothing = true })
		}
		go exec(h, Write{})
		for range 60 {
			exec(h, Read{})
			time.Sleep(20 * time.Millisecond)
		}
		if s.primaryID() == "a" {
			t.Error("the primary that nobody receives from still leads")
		}
	})
}

// A host lost the primary once and has not needed it since. What it says when it asks where the
// log stands must not make the holder of the duty ask all members each time.
func TestSuspicionReportExpires(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		g.mu.Lock()
		g.members["a"].silentSince = g.now()
		g.mu.Unlock()
		if _, suspects := g.healthReport(); !suspects {
			t.Error("a fresh failure is not told")
		}
		g.mu.Lock()
		g.members["a"].silentSince = g.now().Add(-2 * suspicionReportPeriod)
		g.mu.Unlock()
		if _, suspects := g.healthReport(); suspects {
			t.Error("an old failure is told")
		}
	})
}
