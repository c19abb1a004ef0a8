package gateway

import (
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"
)

// withManyGroups runs a host that takes the duties of so many groups, without members, and gives the test the site.
func withManyGroups(t *testing.T, groups int, test func(s *fakeSite, h *Host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a")
		delete(s.items, "members/a")
		s.put("config", binary.BigEndian.AppendUint32(nil, uint32(groups)), 0)
		h := NewHost(Settings{Host: "h", PromotionTokens: true}, Ports{
			Store: s, Promoter: s, Decode: manyGroupsDecoder{}, Keys: Keys{Config: "config", MembersPrefix: "members/", OwnPrefix: "own/"},
		}, testLogger(), time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		if n := len(h.heldCoordinators()); n != groups {
			t.Errorf("the host holds %d of %d duties", n, groups)
		}
		test(s, h)
		cancel()
		<-done
		time.Sleep(20 * time.Second)
	})
}

// A host took and renewed each of its duties by itself: five calls to take one, and a renewal a second for each, so that
// what a fleet asks of the store grew with its groups.
func TestCoordinatorRolesAreAcquiredAndRenewedInBatches(t *testing.T) {
	withManyGroups(t, 40, func(s *fakeSite, _ *Host) {
		s.mu.Lock()
		taken := s.commits
		s.renewals = 0
		s.mu.Unlock()
		if taken > 10 {
			t.Errorf("%d calls took 40 duties", taken)
		}
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.renewals > 15 {
			t.Errorf("%d renewals in 10 s", s.renewals)
		}
	})
}

// The store takes 240 ms for each call, sixty times as long as usual. A host with five duties renewed them one after the
// other, needed 1.2 s for a round, and lost them after 3 s.
func TestSlowStoreLosesNoRole(t *testing.T) {
	withManyGroups(t, 40, func(s *fakeSite, h *Host) {
		held := map[string]int64{}
		for _, d := range h.heldCoordinators() {
			held[d.group.name] = int64(d.token)
		}
		s.mu.Lock()
		s.storeDelay = 240 * time.Millisecond
		s.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if n := len(h.heldCoordinators()); n != 40 {
				t.Fatalf("the host holds %d of 40 duties", n)
			}
		}
		for _, d := range h.heldCoordinators() {
			if !d.wasSoleHolder(time.Now()) || held[d.group.name] != int64(d.token) {
				t.Errorf("the duty of %s is not certain, or was taken anew", d.group.name)
			}
		}
	})
}

// A host opens a lease for new duties while those that it holds are due for renewal. The store takes long to open it: the
// renewal must not wait for that. It did, on a lock held over the call.
func TestRenewalDoesNotWaitForANewLease(t *testing.T) {
	withManyGroups(t, 1, func(s *fakeSite, h *Host) {
		h.coordinatorLease.mu.Lock()
		h.coordinatorLease.renewedAt = time.Now().Add(-coordinatorLeaseTTL) // not to be used for a new duty
		h.coordinatorLease.mu.Unlock()
		s.mu.Lock()
		s.storeDelay = 900 * time.Millisecond
		s.mu.Unlock()
		opened := make(chan struct{})
		go func() {
			defer close(opened)
			_, _, _ = h.coordinatorLease.ensure(context.Background())
		}()
		time.Sleep(10 * time.Millisecond)
		if !h.coordinatorLease.mu.TryLock() {
			t.Fatal("the lease is locked while the store is called")
		}
		h.coordinatorLease.mu.Unlock()
		<-opened
	})
}

// One of the entries is taken by another host meanwhile: the others of the same call must be taken all the same.
func TestTakenRoleDoesNotDelayOthers(t *testing.T) {
	withManyGroups(t, 8, func(s *fakeSite, h *Host) {
		s.mu.Lock()
		for _, d := range h.heldCoordinators() {
			d.loseRole("for the test")
			s.removeLocked(h.coordinatorKey(d.group.name))
		}
		s.putLocked(h.coordinatorKey("group-3"), []byte("another"), 0)
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, name := range []string{"group-0", "group-3", "group-7"} {
			if held := h.coordinatorOf(name).isHeld(); held != (name != "group-3") {
				t.Errorf("the duty of %s is held: %t", name, held)
			}
		}
	})
}

// The answer to the call that takes a duty is lost, and it was carried out. The host finds its own name in the entry. It
// must not take the holder before for an earlier process of its own, whose leases have ended: another host may have held
// the duty until a moment ago.
func TestRoleAcquiredWithoutReplyIsNotReclaimed(t *testing.T) {
	withManyGroups(t, 1, func(s *fakeSite, h *Host) {
		d := h.coordinatorOf("group-0")
		d.mu.Lock()
		d.writeUncertain = true
		lease := d.lease
		d.mu.Unlock()
		s.mu.Lock()
		s.putLocked(h.coordinatorKey("group-0"), []byte("h"), lease)
		s.mu.Unlock()
		time.Sleep(time.Second)
		if !d.isHeld() {
			t.Fatal("the duty was not taken up")
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.reclaimed || d.predecessorHandedBack || d.firstToken != 0 {
			t.Errorf("reclaimed %t, handed back %t, first %v", d.reclaimed, d.predecessorHandedBack, d.firstToken)
		}
	})
}
