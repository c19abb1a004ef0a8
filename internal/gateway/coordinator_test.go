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

// removeCoordinatorEntry removes the duty's entry, and leaves its lease alone.
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

// renewLeaseNow renews the lease of a host's duty.
func renewLeaseNow(h *Host, d *coordinator) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	epoch, asked, err := h.coordinatorLease.renew(context.Background(), lease)
	d.applyRenewal(context.Background(), asked, epoch, err)
}

// wantLeasesWaitedOut cuts the holder of the duty off with the primary, right after a renewal, lets the store forget of it, and
// checks that no lease which it still grants outlasts the change of the primary.
func wantLeasesWaitedOut(t *testing.T, s *fakeSite, f *fakeFleet, holder *Host, forget func()) {
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
	f.setFault(f.storeRejects, holder.settings.Host, true)
	forget()
	var ends time.Time
	for until := time.Now().Add(15 * time.Second); s.primaryID() == "a" && time.Now().Before(until); {
		if r := holder.GrantLease(LeaseRequest{Group: testGroup, Host: "x"}); r.Granted > 0 {
			ends = time.Now().Add(r.Granted)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if s.primaryID() == "a" {
		t.Fatal("the primary was not replaced")
	}
	if left := time.Until(ends); left > 0 {
		t.Errorf("a lease on the old primary holds for %s more", left)
	}
}

// The platform turns the holder of the duty away and takes its entry. The next holder, which does not
// reach the primary, promotes another member, while the one before still grants leases on the old
// one: a host that reaches only that one would read old data. No lease may outlast the change.
func TestNewCoordinatorWaitsOutLeasesOfEvictedOne(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			exec(h, Write{})
		}
		holder := f.coordinatorHost()
		wantLeasesWaitedOut(t, s, f, holder, func() { s.removeCoordinatorEntry(holder) })
	})
}

// The holder of the duty is turned away by the store, its entry is taken, and let in again: its lease
// still stands, so that a renewal succeeds. It must not take that for the duty.
func TestRenewedLeaseWithoutEntryLosesRole(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.coordinatorHost()
		f.setFault(f.unreachable, holder.settings.Host, true) // nor does it hear of it from others
		f.setFault(f.storeRejects, holder.settings.Host, true)
		s.removeCoordinatorEntry(holder)
		time.Sleep(leadership.RenewalInterval + coordinatorPollInterval + storeTimeout + 50*time.Millisecond) // a renewal has failed
		d := holder.coordinatorOf(testGroup)
		f.setFault(f.storeRejects, holder.settings.Host, false)
		renewLeaseNow(holder, d)
		if d.wasSoleHolder(time.Now()) {
			t.Error("the host counts on a duty that was taken away")
		}
	})
}

// The holder before can't reach the store and does not know that its entry has lapsed. The next one has
// held the duty for a second and reaches no member yet. From then on the platform must refuse what the
// one before orders: carried out later, it would promote a member while the next one grants leases on
// another.
func TestTokenIsRaisedWithoutKnownPrimary(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		_, stop1 := startHost(s, "h1", freshness.Latest{})
		time.Sleep(3 * time.Second)
		old := s.revisionOf("own/duty/" + testGroup)
		for _, id := range []string{"a", "b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.silent = true })
		}
		stop1()
		_, stop2 := startHost(s, "h2", freshness.Latest{})
		time.Sleep(coordinatorLeaseTTL + 3*time.Second)
		if err := s.executePromotion("h1", int64(old), "b"); err == nil {
			t.Errorf("an order with the token %d was taken", old)
		}
		stop2()
		time.Sleep(10 * time.Second)
	})
}
