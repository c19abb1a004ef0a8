package gateway

import (
	"strings"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

// Guards against a coordinator that lost its role unnoticed and releases the fences of its successor, which it takes for
// stale ones.
func TestUncertainCoordinatorReleasesNoFences(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.setDown(true)
		time.Sleep(coordinatorLeaseTTL + time.Second)
		s.updateMember("b", func(m *fakeMember) { m.fenced = 2 })
		s.updateMember("c", func(m *fakeMember) { m.fenced = 2 })
		time.Sleep(2 * time.Second)
		for _, id := range []string{"b", "c"} {
			if got := s.fenceOf(id); got != 2 {
				t.Errorf("the fence of %s is %d, want 2", id, got)
			}
		}
		s.setDown(false)
		time.Sleep(5 * time.Second)
		if got := s.fenceOf("b"); got != 0 {
			t.Errorf("the fence of b is %d once the role is certain again, want none", got)
		}
	})
}

// Guards against a host that decides to release stale fences, is suspended for longer than its role lasts, and then releases
// those of its successor: a write that a replica acknowledges after that is lost in the successor's promotion.
func TestLateReleaseLosesNoWrites(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		previous := f.coordinatorHost()
		name := previous.settings.Host
		exec(previous, Write{})
		f.setFault(f.holdsReleases, name, true)
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.fenced = 2 })
		}
		time.Sleep(600 * time.Millisecond)
		f.setFault(f.storeSilentFor, name, true)
		s.removeCoordinatorEntry(previous)
		time.Sleep(5 * time.Second)
		old := s.primaryID()
		f.setFault(f.unreachable, name, true)
		for _, h := range f.all() {
			if h != previous {
				f.setFault(f.severed, h.settings.Host+" "+old, true)
			}
		}
		ordered := s.awaitPromotionOf(old)
		s.updateMember(ordered, func(m *fakeMember) { m.receivesNothing = true }) // until it leads
		f.setFault(f.holdsReleases, name, false)
		for range 100 {
			exec(previous, Write{})
			time.Sleep(5 * time.Millisecond)
		}
		wantNoLostWrites(t, s)
	})
}

// awaitPromotionOf waits until the promotion of another member than the primary has been requested, and returns that member.
func (s *fakeSite) awaitPromotionOf(primary string) string {
	for range 2000 {
		if requests := s.promotionRequests(); len(requests) > 0 {
			if _, id, _ := strings.Cut(requests[len(requests)-1], " "); id != primary {
				return id
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return primary
}

// fenceOf returns the term of a member's fence, or zero.
func (s *fakeSite) fenceOf(id string) group.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member(id).fenced
}

// Guards against a switchover whose fences are released by the previous coordinator. The platform removes the entry of a
// coordinator that can't reach the store, and the primary drains. The next coordinator must not rely on its fences until the
// previous one can no longer take them for stale.
func TestSwitchoverFencesAreNotReleasedByPreviousCoordinator(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.setIncarnation(7) // the next coordinator then need not wait until unrecorded promotions have settled
		time.Sleep(3 * time.Second)
		previous := f.coordinatorHost()
		exec(previous, Write{})
		f.setFault(f.storeSilentFor, previous.settings.Host, true)
		s.mu.Lock()
		s.removeLocked(previous.coordinatorKey(testGroup))
		s.mu.Unlock()
		s.writeMemberEntry("a", "draining")
		fenced := ""
		for range 500 {
			for _, id := range []string{"b", "c"} {
				if fenced == "" && s.fenceOf(id) > 0 {
					fenced = id
					target := map[string]string{"b": "c", "c": "b"}[id]
					s.updateMember(target, func(m *fakeMember) { m.receivesNothing = true })
				}
			}
			if fenced != "" {
				exec(previous, Write{})
			}
			time.Sleep(10 * time.Millisecond)
		}
		if fenced == "" {
			t.Error("no replica was fenced")
		}
		wantNoLostWrites(t, s)
	})
}

// Guards against a coordinator that hands its role back while leases are out that its successor does not wait for.
func TestSuccessorAwaitsLeasesOfResignedCoordinator(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		resigning := f.coordinatorHost()
		for range 20 {
			for _, h := range f.all() {
				exec(h, Write{})
			}
			time.Sleep(50 * time.Millisecond)
		}
		resigning.Stop()
		var successor *Host
		for range 100 {
			if successor = f.coordinatorHost(); successor != nil && successor != resigning {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if successor == nil || successor == resigning {
			t.Fatal("no other host took the role")
		}
		role := successor.coordinatorOf(testGroup)
		end, acquired := role.predecessorEnd(), role.acquiredTime()
		for _, h := range f.all() {
			g := h.group(testGroup)
			g.mu.Lock()
			lease := g.lease
			g.mu.Unlock()
			if lease.From.Before(acquired) && lease.Until.After(end) {
				t.Errorf("%s has a lease %+v until %s after the time that the successor waits for", h.settings.Host, lease, lease.Until.Sub(end))
			}
		}
	})
}
