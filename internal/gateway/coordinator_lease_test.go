package gateway

import (
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"
)

// withManyGroups runs a test with a host that is the coordinator of the given number of groups without members.
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
			t.Errorf("the host holds %d of %d roles", n, groups)
		}
		test(s, h)
		cancel()
		<-done
		time.Sleep(20 * time.Second)
	})
}

// When a host acquires and renews each role by itself, with five calls to acquire one and a renewal a second for each, the
// load on the store grows with the number of groups.
func TestCoordinatorRolesAreAcquiredAndRenewedInBatches(t *testing.T) {
	withManyGroups(t, 40, func(s *fakeSite, _ *Host) {
		s.mu.Lock()
		commits := s.commits
		s.renewals = 0
		s.mu.Unlock()
		if commits > 10 {
			t.Errorf("%d commits to acquire 40 roles", commits)
		}
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.renewals > 15 {
			t.Errorf("%d renewals in 10 s", s.renewals)
		}
	})
}

// The store takes 240 ms for each call, sixty times as long as usual. A host that renews five roles one after the other then
// takes 1.2 s for a round, and loses them after 3 s.
func TestRolesSurviveSlowStore(t *testing.T) {
	withManyGroups(t, 40, func(s *fakeSite, h *Host) {
		tokens := map[string]int64{}
		for _, d := range h.heldCoordinators() {
			tokens[d.group.name] = int64(d.token)
		}
		s.mu.Lock()
		s.storeDelay = 240 * time.Millisecond
		s.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if n := len(h.heldCoordinators()); n != 40 {
				t.Fatalf("the host holds %d of 40 roles", n)
			}
		}
		for _, d := range h.heldCoordinators() {
			if !d.wasSoleHolder(time.Now()) || tokens[d.group.name] != int64(d.token) {
				t.Errorf("the role of %s is not certain, or was acquired again", d.group.name)
			}
		}
	})
}

// A host requests a new lease for new roles while the lease of those it holds is due for renewal, and the store is slow to
// grant it. If a lock is held during the call, the renewal waits for it.
func TestRenewalDoesNotWaitForANewLease(t *testing.T) {
	withManyGroups(t, 1, func(s *fakeSite, h *Host) {
		h.coordinatorLease.mu.Lock()
		h.coordinatorLease.renewedAt = time.Now().Add(-coordinatorLeaseTTL) // expired, so that a new role needs a new lease
		h.coordinatorLease.mu.Unlock()
		s.mu.Lock()
		s.storeDelay = 900 * time.Millisecond
		s.mu.Unlock()
		granted := make(chan struct{})
		go func() {
			defer close(granted)
			_, _, _ = h.coordinatorLease.ensure(context.Background())
		}()
		time.Sleep(10 * time.Millisecond)
		if !h.coordinatorLease.mu.TryLock() {
			t.Fatal("the lease is locked while the store is called")
		}
		h.coordinatorLease.mu.Unlock()
		<-granted
	})
}

// Another host acquires one of the roles of a batch first. The other roles of the batch must be acquired all the same.
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
				t.Errorf("role of %s: held is %t", name, held)
			}
		}
	})
}

// The commit that acquires a role succeeds, but its reply is lost, so the host finds its own name in the entry. It must not
// conclude that an earlier process of its own held the role before, whose leases would have ended: another host may have held
// the role until a moment ago.
func TestRoleAcquiredWithoutReplyIsNotReclaimed(t *testing.T) {
	withManyGroups(t, 1, func(s *fakeSite, h *Host) {
		d := h.coordinatorOf("group-0")
		d.mu.Lock()
		d.writeUncertain = true
		lease := d.leaseID
		d.mu.Unlock()
		s.mu.Lock()
		s.putLocked(h.coordinatorKey("group-0"), []byte("h"), lease)
		s.mu.Unlock()
		time.Sleep(time.Second)
		if !d.isHeld() {
			t.Fatal("the role is not held")
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.predecessor.SameHost || d.predecessor.HandedBack || d.exemptToken != 0 {
			t.Errorf("reclaimed %t, handed back %t, exempt token %v", d.predecessor.SameHost, d.predecessor.HandedBack, d.exemptToken)
		}
	})
}
