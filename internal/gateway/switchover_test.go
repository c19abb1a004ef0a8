package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

// addReplica starts a replica of the member a that the platform does not list yet. It receives the log from the next commit on.
func (s *fakeSite) addReplica(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.member("a")
	s.members = append(s.members, &fakeMember{id: id, term: p.term, received: p.received, applied: p.applied, work: workTime})
}

// awaitPromotionRequest waits until a promotion is requested and returns its member.
func (s *fakeSite) awaitPromotionRequest() string {
	for len(s.promotionRequests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, id, _ := strings.Cut(s.promotionRequests()[0], " ")
	return id
}

// writers sends writes by several callers of a host and records the positions of those that succeeded.
type writers struct {
	wait   sync.WaitGroup
	mu     sync.Mutex
	served []group.Position
	failed []*Failure
}

func (w *writers) start(h *Host, d time.Duration) {
	for range 4 {
		w.wait.Go(func() {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				r := exec(h, Write{})
				w.mu.Lock()
				if r.Failure == nil {
					w.served = append(w.served, r.Position)
				} else {
					w.failed = append(w.failed, r.Failure)
				}
				w.mu.Unlock()
			}
		})
	}
}

// wantAllKept waits for the writers and checks that promotions dropped no write of which a caller was told.
func (w *writers) wantAllKept(t *testing.T, s *fakeSite) {
	t.Helper()
	w.wait.Wait()
	time.Sleep(2 * time.Second) // until promotions have taken effect
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.droppedWrites {
		if slices.Contains(w.served, p) {
			t.Errorf("the write at %v was acknowledged to a caller and is lost", p)
		}
	}
	if len(w.served) == 0 {
		t.Errorf("no write was served, failures: %v", w.failed)
	}
}

// Guards against writes that are acknowledged between the request for a promotion and its effect, by a replica that is not
// fenced, while the switchover target receives nothing.
func TestSwitchoverTargetHoldsWhatIsAcknowledged(t *testing.T) {
	for _, c := range []struct {
		name    string
		receive func(s *fakeSite, target string)
	}{
		{"a replica joins", func(s *fakeSite, _ string) { s.addReplica("d") }},
		{"a fenced replica restarts", func(s *fakeSite, target string) {
			for _, id := range []string{"b", "c"} {
				if id != target {
					s.updateMember(id, func(m *fakeMember) { m.fenced = 0 })
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
				var w writers
				exec(h, Write{})
				s.writeMemberEntry("a", "draining")
				w.start(h, 3*time.Second)
				target := s.awaitPromotionRequest()
				s.updateMember(target, func(m *fakeMember) { m.receivesNothing = true })
				c.receive(s, target)
				w.wantAllKept(t, s)
				if s.primaryID() != target {
					t.Errorf("%q leads, not the target %q", s.primaryID(), target)
				}
			})
		})
	}
}

// Guards against a host without a lease that takes a write for confirmed since no replica is fenced: the only listed replica is
// the switchover target, which lacks the write.
func TestWriteWithoutLeaseIsHeldByAllMembers(t *testing.T) {
	withFleet(t, 2, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.updateMember("c", func(m *fakeMember) { m.crashed = true })
		s.writeMemberEntry("c", "")
		time.Sleep(missingMemberGrace + missingMemberRetention)
		coordinator := f.holder(nil)
		for _, h := range f.all() {
			exec(h, Write{})
			if h != coordinator {
				f.setFault(f.unreachable, h.settings.Host, true)
			}
		}
		time.Sleep(2 * time.Second) // until its lease has ended
		var w writers
		s.writeMemberEntry("a", "draining")
		for _, h := range f.all() {
			if h != coordinator {
				w.start(h, 2*time.Second)
			}
		}
		target := s.awaitPromotionRequest()
		s.updateMember(target, func(m *fakeMember) { m.receivesNothing = true })
		s.addReplica("d")
		w.wantAllKept(t, s)
	})
}

// Guards against writes that a host with a full lease passes on after the replicas were fenced: a replica that joined
// acknowledged them, and the switchover target was found complete before.
func TestSwitchoverWaitsForWritesUnderFullLeases(t *testing.T) {
	withFleet(t, 2, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		coordinator := f.holder(nil)
		var w writers
		for _, h := range f.all() {
			w.start(h, 3*time.Second)
		}
		time.Sleep(time.Second)
		s.writeMemberEntry("a", "draining")
		for _, h := range f.all() {
			if h != coordinator {
				f.setFault(f.unreachable, h.settings.Host, true) // keeps its lease until it ends
			}
		}
		for fenced := false; !fenced; time.Sleep(time.Millisecond) {
			s.mu.Lock()
			fenced = slices.ContainsFunc(s.members, func(m *fakeMember) bool { return m.fenced > 0 })
			s.mu.Unlock()
		}
		time.Sleep(promotionPollInterval) // the target has been found complete
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.receivesNothing = true })
		}
		s.addReplica("d")
		w.wantAllKept(t, s)
	})
}

// Guards against a target that is behind the end of a demoted primary, and counts as complete since it holds all that the listed
// replicas hold: a replica that is not listed yet has acknowledged more.
func TestSwitchoverTargetReachesDemotedPrimary(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.receivesNothing = true })
		}
		s.addReplica("d")
		if r := exec(h, Write{}); r.Failure != nil {
			t.Fatalf("the write that only d receives failed: %v", r.Failure)
		}
		w := &groupMonitor{coordinator: h.coordinatorOf(testGroup)}
		w.roundAcquiredAt = w.acquiredTime()
		w.primary, _ = w.group.lookupMember("a")
		target, _ := w.group.lookupMember("b")
		if w.demoteForSwitchover(context.Background(), 2, target) {
			t.Error("b counts as complete without the write")
		}
	})
}
