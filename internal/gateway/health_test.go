package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/leadership"
)

// probeCount returns how many probes the members have answered.
func (s *fakeSite) probeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// Guards against frequent probes of a healthy group, each of which occupies a slot of a member. The
// coordinator also probes rarely without traffic, but does not stop: a primary that is lost meanwhile
// should be replaced before the next caller needs it.
func TestCoordinatorProbesRarelyWhileTrafficIsHealthy(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		probesWithTraffic := func() int {
			before := s.probeCount()
			for range 100 {
				exec(h, Write{})
				time.Sleep(40 * time.Millisecond)
			}
			return s.probeCount() - before
		}
		exec(h, Write{})
		if n := probesWithTraffic(); n > 15 {
			t.Errorf("%d probes in five seconds with traffic", n)
		}
		before := s.probeCount()
		time.Sleep(5 * time.Second)
		if n := s.probeCount() - before; n < 9 || n > 18 {
			t.Errorf("%d probes in five seconds without traffic", n)
		}
	})
}

// Guards against a group that counts as healthy because reads succeed, while writes hang since no
// replica receives the log.
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
			t.Error("the member whose log no replica receives is still the primary")
		}
	})
}

// Guards against a host that reports an old failure of the primary forever because it has not used
// the primary since. Each of its requests for a position would make the coordinator probe all members.
func TestSuspicionReportExpires(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		g.mu.Lock()
		g.members["a"].silentSince = g.now()
		g.mu.Unlock()
		if !g.healthReport().SuspectsPrimary {
			t.Error("a recent failure is not reported")
		}
		g.mu.Lock()
		g.members["a"].silentSince = g.now().Add(-2 * suspicionReportPeriod)
		g.mu.Unlock()
		if g.healthReport().SuspectsPrimary {
			t.Error("an old failure is reported")
		}
	})
}

// Guards against a lease that ends late because a report of another host counts as more recent than the answer it is based on.
func TestLeaseIsCountedFromTheRequestThatAnotherHostReports(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		const answerAge = 340 * time.Millisecond
		report := LeaseRequest{Group: testGroup, Host: "h2", Healthy: true, Answered: "a", AnswerAge: answerAge}
		for probes, rounds := s.probeCount(), 0; rounds < 4; rounds++ {
			h.GrantLease(report)
			time.Sleep(leaseRenewInterval)
			if n := s.probeCount(); n > probes {
				probes, rounds = n, 0
			}
		}
		h.GrantLease(report)
		end, probes := time.Now().Add(leadership.LeaseDuration-answerAge), s.probeCount()
		for range 12 {
			time.Sleep(50 * time.Millisecond)
			got := h.GrantLease(LeaseRequest{Group: testGroup, Host: "h3"}).Granted
			if s.probeCount() > probes {
				break // the primary has answered the coordinator itself
			}
			if late := time.Now().Add(got).Sub(end); late > 0 {
				t.Errorf("a lease of %s ends %s after the last answered request has lost its effect", got, late)
			}
		}
	})
}

// Guards against a report without the age of a long statement, which looks like the report of an earlier version.
func TestHealthyReportNamesTheAgeOfTheAnswer(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		exec(h, Write{})
		g := h.groups[testGroup]
		g.mu.Lock()
		g.members["a"].answeredStatementSentAt = g.now().Add(-2 * leadership.LeaseDuration)
		g.mu.Unlock()
		if r := g.healthReport(); !r.Healthy || r.Answered != "a" || r.AnswerAge != 2*leadership.LeaseDuration {
			t.Errorf("unexpected report %+v", r)
		}
	})
}
