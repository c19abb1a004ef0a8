package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

// removeCoordinatorEntry removes the entry of the coordinator role and keeps its lease.
func (s *fakeSite) removeCoordinatorEntry(h *Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(h.coordinatorKey(testGroup))
}

func (s *fakeSite) revisionOf(key string) kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}

// renewLeaseNow renews the coordinator lease of the host and applies the result to the role.
func renewLeaseNow(h *Host, d *coordinator) {
	d.mu.Lock()
	lease := d.leaseID
	d.mu.Unlock()
	epoch, requested, err := h.coordinatorLease.renew(context.Background(), lease)
	d.applyRenewal(context.Background(), requested, epoch, err)
}

// wantNoLeaseOutlastsPrimary partitions the coordinator together with the primary right after a renewal, removes its role
// from the store by calling removeRole, and checks that no lease which it still grants outlasts the change of the primary.
func wantNoLeaseOutlastsPrimary(t *testing.T, s *fakeSite, f *fakeFleet, holder *Host, removeRole func()) {
	t.Helper()
	for _, h := range f.all() {
		if h != holder {
			f.setFault(f.severed, h.settings.Host+" a", true)
		}
	}
	s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
	d := holder.coordinatorOf(testGroup)
	renewLeaseNow(holder, d)
	f.setFault(f.unreachable, holder.settings.Host, true)
	f.setFault(f.storeSilentFor, holder.settings.Host, true)
	removeRole()
	var leaseEnd time.Time
	for until := time.Now().Add(15 * time.Second); s.primaryID() == "a" && time.Now().Before(until); {
		if r := holder.GrantLease(LeaseRequest{Group: testGroup, Host: "x"}); r.Granted > 0 {
			leaseEnd = time.Now().Add(r.Granted)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if s.primaryID() == "a" {
		t.Fatal("the primary was not replaced")
	}
	if left := time.Until(leaseEnd); left > 0 {
		t.Errorf("a lease on the old primary is valid for %s more", left)
	}
}

// The store does not answer the coordinator's calls and removes its entry. The next coordinator does not reach the primary and
// promotes another member, while the previous one still grants leases on the old primary. A host that reaches only the
// previous one would read stale data, so no lease may outlast the change of the primary.
func TestNewCoordinatorWaitsForLeasesOfPreviousOne(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			exec(h, Write{})
		}
		holder := f.coordinatorHost()
		wantNoLeaseOutlastsPrimary(t, s, f, holder, func() { s.removeCoordinatorEntry(holder) })
	})
}

// The store does not answer the coordinator's calls and removes its entry, then it answers again. The lease still exists,
// so that a renewal succeeds. The host must not conclude that it still holds the role.
func TestRenewedLeaseWithoutEntryLosesRole(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.coordinatorHost()
		f.setFault(f.unreachable, holder.settings.Host, true) // so that it learns nothing from other hosts either
		f.setFault(f.storeSilentFor, holder.settings.Host, true)
		s.removeCoordinatorEntry(holder)
		time.Sleep(leadership.RenewalInterval + coordinatorPollInterval + storeTimeout + 50*time.Millisecond) // a renewal has failed
		d := holder.coordinatorOf(testGroup)
		f.setFault(f.storeSilentFor, holder.settings.Host, false)
		renewLeaseNow(holder, d)
		if d.wasSoleHolder(time.Now()) {
			t.Error("the host relies on a role whose entry was removed")
		}
	})
}

// The previous coordinator can't reach the store and does not know that its entry has expired. The new one has held the role
// for a second and reaches no member yet. From then on the platform must refuse the previous coordinator's requests: a
// late one would promote a member while the new coordinator grants leases on another.
func TestTokenIsRaisedWithoutKnownPrimary(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		_, stop1 := startHost(s, "h1", freshness.Latest{})
		time.Sleep(3 * time.Second)
		oldToken := s.revisionOf("own/duty/" + testGroup)
		for _, id := range []string{"a", "b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.silent = true })
		}
		stop1()
		_, stop2 := startHost(s, "h2", freshness.Latest{})
		time.Sleep(coordinatorLeaseTTL + 3*time.Second)
		if err := s.executePromotion("h1", int64(oldToken), "b"); err == nil {
			t.Errorf("a promotion request with the token %d was accepted", oldToken)
		}
		stop2()
		time.Sleep(10 * time.Second)
	})
}

// Guards against a lease that ends a statement's duration late, so that a failover waits for it that much longer.
func TestLeaseIsCountedFromTheRequestThatThePrimaryAnswered(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		exec(h, Write{})
		time.Sleep(2 * time.Second)
		const took = 600 * time.Millisecond
		d, g := h.coordinatorOf(testGroup), h.group(testGroup)
		renewLeaseNow(h, d)
		d.setPrimaryStatus(primaryStatus{member: "a", term: 1, heardAt: time.Now().Add(-2 * time.Second)})
		g.mu.Lock()
		primary := g.members["a"]
		g.mu.Unlock()
		g.noteAnswer(primary, time.Now().Add(-took))
		if got, want := d.grantLease("h2").Granted, leadership.LeaseDuration-took; got > want {
			t.Errorf("the lease lasts %s after an answer to a request sent %s ago, want %s at most", got, took, want)
		}
	})
}
