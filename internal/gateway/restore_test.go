package gateway

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/internal/recordcodec"
)

// restoreStoreAfter takes a backup, runs change, and restores the store from the backup after an outage of the given length.
// Then it writes the configuration and the members' entries again, as the operator and the members do.
func restoreStoreAfter(s *fakeSite, outage time.Duration, change func()) {
	b := s.backup()
	change()
	s.setDown(true)
	time.Sleep(outage)
	s.mu.Lock()
	config := s.items["config"].Value
	s.mu.Unlock()
	s.restore(b)
	s.setDown(false)
	s.put("config", config, 0)
	for _, m := range s.members {
		s.writeMemberEntry(m.id, "ready")
	}
}

// bumpRevision increases the store's revision by the given number.
func (s *fakeSite) bumpRevision(times int) {
	for i := range times {
		s.put("other", fmt.Append(nil, i), 0)
	}
}

// Guards against comparing a revision with one from before a restore, although a restored store assigns the same numbers
// again. After an outage of three seconds, the store was restored from a backup and its revisions continued below the one
// that the hosts knew. For six seconds the hosts rejected its lists as stale ("source_failing", "revision 39, and 65 is
// known: the source is behind"). Once its revision had passed the known one, they ignored the new configuration, which had a
// smaller revision than the one before ("item_passed_over", "config", "revision":39, "known":65). Callers were served by a
// route that a configuration acknowledged 3.5 s earlier had removed. All that the store acknowledges after a restore must be
// in force within 3 s, whether or not its revision has passed the old one by then.
func TestConfigIsInForceAfterStoreRestore(t *testing.T) {
	for name, later := range map[string]int{"smaller revisions": 0, "revisions that have passed the old one": 40} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 12, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
				f.writeConfig(2, 20)
				restoreStoreAfter(s, 3*time.Second, func() {
					s.bumpRevision(30)
					f.writeConfig(3, 20)
					time.Sleep(time.Second)
				})
				time.Sleep(time.Second)
				f.writeConfig(4, 20)
				s.bumpRevision(later)
				time.Sleep(2900 * time.Millisecond)
				f.wantConfigInForce(t, 4)
			})
		})
	}
}

// The store does not answer two of the three hosts that watch it, before its restore and after. These hosts, and those that
// receive updates from them, learn of the restore only from other hosts, which knew the same revision numbers in another
// epoch. The next acknowledged configuration must be in force on all hosts within 3 s.
func TestHostsWithoutStoreLearnOfRestore(t *testing.T) {
	withFleet(t, 12, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.mutualSources() {
			f.setFault(f.storeSilentFor, h.settings.Host, true)
		}
		restoreStoreAfter(s, 2*time.Second, func() {
			s.bumpRevision(30)
			f.writeConfig(2, 20)
			time.Sleep(time.Second)
		})
		time.Sleep(time.Second)
		f.writeConfig(3, 20)
		time.Sleep(2900 * time.Millisecond)
		f.wantConfigInForce(t, 3)
	})
}

// The coordinator role changes hands shortly before an outage of the store, and the store is restored from a backup that has
// the previous coordinator. The fencing tokens are revisions, so they continue below the highest token that the platform has
// seen, and the platform rejected all promotions. If the primary then becomes unreachable, it must be replaced within six
// seconds.
func TestPrimaryIsReplacedAfterStoreRestore(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		exec(f.all()[0], Write{})
		restoreStoreAfter(s, 2*time.Second, func() {
			s.bumpRevision(100)
			s.removeCoordinatorEntry(f.coordinatorHost())
			time.Sleep(2 * time.Second) // a host, perhaps the same one, acquires the role and raises its token
		})
		time.Sleep(4 * time.Second)
		s.updateMember("a", func(m *fakeMember) { m.silent = true })
		time.Sleep(6 * time.Second)
		if s.primaryID() == "a" {
			t.Error("the primary was not replaced")
		}
		wantNoLostWrites(t, s)
	})
}

// A host acquires the coordinator role right before a backup of the store, which contains its lease but not its entry. After
// a restore its renewals succeed, while any other host may acquire the role and replace the primary. A renewed lease must
// not count as holding the role, or callers would read old data under the leases that the host grants. The fault was that a
// successful renewal was taken as proof of the entry in any epoch of the store (no "duty_lost" followed the renewal,
// although the store had no entry).
func TestLeaseInRestoredStoreDoesNotGrantRole(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.coordinatorHost()
		d := holder.coordinatorOf(testGroup)
		b := s.backup()
		delete(b.items, holder.coordinatorKey(testGroup))
		s.restore(b)
		renewLeaseNow(holder, d)
		if d.wasSoleHolder(time.Now()) {
			t.Error("the host relies on a coordinator role whose entry is gone")
		}
		time.Sleep(leadership.RenewalInterval + coordinatorPollInterval + 50*time.Millisecond)
		d.mu.Lock()
		token := d.token
		d.mu.Unlock()
		if entry := s.revisionOf(holder.coordinatorKey(testGroup)); d.wasSoleHolder(time.Now()) && entry != token {
			t.Errorf("the host relies on a role that it acquired at revision %v, but the entry has revision %v", token, entry)
		}
	})
}

// A coordinator hands its role back, and the store is backed up. A second host acquires the role and is partitioned off with
// the primary. Then the store is restored from the backup, in which the role was handed back and is free. The next
// coordinator must wait for the second one's leases before it promotes another member, as after any coordinator that may not
// know that it has lost the role: a host that reaches only the second one would read old data under its leases. The fault
// was that the backup's last coordinator was taken as the last one, although another had held the role since ("a lease on
// the old primary holds for 580ms more").
func TestHandBackInRestoredCopyIsIgnored(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			exec(h, Write{})
		}
		first := f.coordinatorHost()
		first.Stop()
		b := s.backup()
		for until := time.Now().Add(5 * time.Second); !b.items[first.coordinatorKey(testGroup)].Removed; b = s.backup() {
			if time.Now().After(until) {
				t.Fatal("the coordinator role was not handed back")
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		second := f.coordinatorHost()
		if second == nil || second == first {
			t.Fatal("no other host acquired the coordinator role")
		}
		wantNoLeaseOutlastsPrimary(t, s, f, second, func() { s.restore(b) })
	})
}

// A host holds the coordinator role when the store is backed up. Its process ends, and a second host acquires the role and
// is partitioned off with the primary. Then the store is restored from the backup, in which the first host holds the role,
// and its new process takes the role up again. It must not assume that nobody else has held the role, and must wait for the
// second host's leases. Without the wait, these were still valid for 774 ms when another member became primary.
func TestRoleInRestoredCopyIsNotReclaimed(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			exec(h, Write{})
		}
		first := f.coordinatorHost()
		b := s.backup()
		f.stops[first.settings.Host]()
		time.Sleep(coordinatorLeaseTTL + time.Second)
		f.start(int(first.settings.Peer.Addr().As4()[3]), freshness.Latest{})
		time.Sleep(2 * time.Second)
		second := f.coordinatorHost()
		if second == nil || second.settings.Host == first.settings.Host {
			t.Fatal("no other host acquired the coordinator role")
		}
		wantNoLeaseOutlastsPrimary(t, s, f, second, func() { s.restore(b) })
	})
}

// The platform does not check tokens, does not answer a promotion request and carries it out six seconds later. The
// coordinator dies right after the request, the store is restored from a backup without the record of the request, and the
// old primary answers again. The next coordinator saw the record before the restore and must still take the pending
// promotion into account: if it let the old primary acknowledge writes with the other replica, these would be lost. The
// fault was that it read only the store's record ("record_inherited", "ordered":"" right after a "promotion_open").
func TestPendingPromotionSurvivesStoreRestore(t *testing.T) {
	testPendingPromotion(t, func(s *fakeSite, b storeBackup) {
		delete(b.items, "own/duty/"+testGroup)
		s.restore(b)
	})
}

// The operator revokes a key, and the store is restored from a backup that still has the key. Before the operator writes the
// configuration again, a host that the store does not answer starts and receives its updates from another host. That host
// must send the configuration in force, or callers are admitted with the revoked key. The fault was that hosts sent the
// store's configuration instead ("passes on version 1", with version 2 in force).
func TestRestoredOldConfigIsNotPropagated(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		b := s.backup()
		f.writeConfig(2, 20)
		time.Sleep(time.Second)
		s.restore(b)
		time.Sleep(1500 * time.Millisecond)
		for _, h := range f.all() {
			update, _, err := h.storeView.UpdateSince(0)
			if err != nil || !update.Full {
				t.Fatalf("%+v, %v", update, err)
			}
			for _, i := range update.Items {
				if i.Key == "config" && i.Value[0] != 2 {
					t.Errorf("%s sends version %d", h.settings.Host, i.Value[0])
				}
			}
		}
	})
}

// A replica announces that it is leaving, and the store is restored from a backup without the announcement. Until the member
// writes its entry again, hosts must not send it new work, some of which would be running when the member ends. A member
// that was promoted after the backup must still count as the primary. The fault was that the backup's entry was taken as the
// newer one, although its sequence number is smaller than the known one's.
func TestRestoredMembersKeepKnownState(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		b := s.backup()
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		time.Sleep(3 * time.Second)
		primary := s.primaryID()
		s.updateMember("a", func(m *fakeMember) { m.crashed, m.isPrimary = false, false })
		s.writeMemberEntry("a", "draining")
		time.Sleep(time.Second)
		s.restore(b)
		time.Sleep(1500 * time.Millisecond)
		for _, h := range f.all() {
			g := h.group(testGroup)
			for _, m := range g.snapshot().Members {
				if m.ID == "a" && !m.Leaving {
					t.Errorf("%s sends work to a member that is about to leave", h.settings.Host)
				}
			}
			g.mu.Lock()
			if m := g.members[primary]; primary == "a" || m == nil || !m.IsPrimary {
				t.Errorf("%s does not take %s for the primary", h.settings.Host, primary)
			}
			g.mu.Unlock()
		}
	})
}

// The store is restored from a backup that has the hosts' leases but not their entries. Hosts that start then would take all
// of the members' connections as if they were alone and would send no updates to the others. Each host must write its entry
// again at its next renewal. The fault was that a successful renewal was taken as proof of the entry in any epoch of the
// store.
func TestHostsRewriteEntriesAfterRestore(t *testing.T) {
	withFleet(t, 5, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		b := s.backup()
		maps.DeleteFunc(b.items, func(key string, _ kv.Item) bool { return strings.HasPrefix(key, "own/hosts/") })
		s.restore(b)
		time.Sleep(hostEntryRenewInterval + time.Second)
		for _, h := range f.all() {
			if i, listed := h.storeView.Item(h.hostsPrefix() + h.settings.Host); !listed || i.Revision.Epoch() != 1 {
				t.Errorf("%s is not listed", h.settings.Host)
			}
		}
	})
}

// A restore of the store loses the record of the hosts that may hold portions of quotas. The next coordinator must list all
// hosts in the record before it grants portions: any host may have been coordinator and have received portions that the
// remaining record does not show, and these would be spent in addition to the new ones.
func TestAllHostsMayHoldPortionsAfterStoreRestore(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.coordinatorHost()
		b := s.backup()
		delete(b.items, holder.recordKey(testGroup))
		delete(b.items, holder.coordinatorKey(testGroup))
		s.restore(b)
		var i kv.Item
		for until := time.Now().Add(5 * time.Second); i.Value == nil && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
			s.mu.Lock()
			i = s.items[holder.recordKey(testGroup)]
			s.mu.Unlock()
		}
		r, err := recordcodec.Decode(i.Value)
		if err != nil || len(r.PortionHolders) != 4 || len(r.QuotaGranters) != 4 || r.ReserveHolders != nil {
			t.Errorf("%v may hold portions and %v reserves, and %v may grant them; %v", r.PortionHolders, r.ReserveHolders, r.QuotaGranters, err)
		}
	})
}

// A coordinator has revoked all leases and fenced the replicas when the store is restored from a backup. It loses the role
// and acquires it again at once. A promotion that it started before must not be requested under the newly acquired role,
// since it has not waited for the leases of a coordinator that the restore removed from the store: a host that reaches only
// that one would read old data.
func TestPromotionUnderLostRoleIsNotRequested(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		d := h.coordinatorOf(testGroup)
		m := &groupMonitor{coordinator: d, roundAcquiredAt: d.acquiredTime()}
		s.restore(s.backup())
		time.Sleep(time.Second)
		if !d.isHeld() || d.acquiredTime().Equal(m.roundAcquiredAt) {
			t.Fatal("the role was not acquired again")
		}
		m.promote(context.Background(), "b", successorChoice{})
		if requests := s.promotionRequests(); len(requests) > 0 {
			t.Errorf("promotions %v were requested", requests)
		}
	})
}

// After a restore of the store, every host must know the new epoch within 3 s, the limit for a configuration to be in force,
// also in a fleet in which most hosts receive updates from others. A host must acquire the coordinator role in the new
// epoch. The times are logged.
func TestRestoreIsDetectedSoon(t *testing.T) {
	for _, hosts := range []int{3, 12, 75} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			withFleet(t, hosts, 2*hosts, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
				b := s.backup()
				s.bumpRevision(20)
				time.Sleep(time.Second)
				s.setDown(true)
				time.Sleep(2 * time.Second)
				s.restore(b)
				s.setDown(false)
				known := waitFor(t, func() bool { return f.allInEpoch(1) })
				held := known + waitFor(t, func() bool {
					h := f.coordinatorHost()
					if h == nil {
						return false
					}
					d := h.coordinatorOf(testGroup)
					return d.acquiredEpoch() == 1
				})
				if known > 3*time.Second {
					t.Errorf("known everywhere after %s", known)
				}
				t.Logf("%d hosts: known everywhere after %s, the coordinator role held after %s", hosts, known, held)
			})
		})
	}
}

// allInEpoch reports whether the store views of all hosts are in the epoch.
func (f *fakeFleet) allInEpoch(e kv.Epoch) bool {
	for _, h := range f.all() {
		h.mu.Lock()
		known := h.storeView.Revision().Epoch()
		h.mu.Unlock()
		if known != e {
			return false
		}
	}
	return true
}

// waitFor waits until the condition is true and returns the time waited. It fails the test after 10 s.
func waitFor(t *testing.T, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > 10*time.Second {
			t.Fatal("the condition did not become true within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}
