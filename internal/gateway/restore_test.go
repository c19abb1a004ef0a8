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
)

// restoreStoreAfter makes the store come back after an outage from a copy that lacks the changes made meanwhile by
// change. What the operator and the members wrote last is written again.
func restoreStoreAfter(s *fakeSite, away time.Duration, change func()) {
	b := s.backup()
	change()
	s.setDown(true)
	time.Sleep(away)
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

// bumpRevision makes the store's revision rise.
func (s *fakeSite) bumpRevision(times int) {
	for i := range times {
		s.put("other", fmt.Append(nil, i), 0)
	}
}

// Callers were served by a route that a version had dropped whose acknowledgement was 3.5 s old. The store had
// been away for three seconds and had come back from an older copy, so that its revisions began again at a
// smaller one than the hosts knew. They took its lists for old ones for six seconds ("source_failing", "revision 39,
// and 65 is known: the source is behind"), until its revision had passed the one that they knew, and after that passed
// over the configuration, which had been written at a smaller revision than the one before ("item_passed_over", "config",
// "revision":39, "known":65). The cause: a revision was compared with one of before the return, though the store gives
// the same numbers out again. All that is acknowledged after the store's return must be in force within 3 s,
// whether its revision has passed the old one by then or not.
func TestConfigurationIsInForceAfterTheStoreWasRestored(t *testing.T) {
	for name, later := range map[string]int{"smaller revisions": 0, "revisions that have passed the old one": 40} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 12, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
				f.newConfig(2, 20)
				restoreStoreAfter(s, 3*time.Second, func() {
					s.bumpRevision(30)
					f.newConfig(3, 20)
					time.Sleep(time.Second)
				})
				time.Sleep(time.Second)
				f.newConfig(4, 20)
				s.bumpRevision(later)
				time.Sleep(2900 * time.Millisecond)
				f.wantConfigInForce(t, 4)
			})
		})
	}
}

// The store turns two of the three hosts away that watch it, before it comes back from a copy and after. They, and those
// that learn from them, hear of the return from other hosts alone, which knew the same numbers in another epoch. What is
// acknowledged next must be in force everywhere within 3 s.
func TestHostsRejectedByStoreLearnOfRestore(t *testing.T) {
	withFleet(t, 12, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.mutualSources() {
			f.setFault(f.storeRejects, h.settings.Host, true)
		}
		restoreStoreAfter(s, 2*time.Second, func() {
			s.bumpRevision(30)
			f.newConfig(2, 20)
			time.Sleep(time.Second)
		})
		time.Sleep(time.Second)
		f.newConfig(3, 20)
		time.Sleep(2900 * time.Millisecond)
		f.wantConfigInForce(t, 3)
	})
}

// The duty changed hands shortly before the store went away, and the store came back from a copy that has the holder
// before. Revisions began again at a smaller one, and with them the fencing tokens: the platform had seen a higher
// one and refused all orders. When the primary goes dark then, another member must lead within a few seconds.
func TestPrimaryIsReplacedAfterTheStoreWasRestored(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		exec(f.all()[0], Write{})
		restoreStoreAfter(s, 2*time.Second, func() {
			s.bumpRevision(100)
			s.removeCoordinatorEntry(f.coordinatorHost())
			time.Sleep(2 * time.Second) // another host, or the same one again, has raised its token
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

// A host took the duty right before the store went away, and the store came back from a copy that has its lease and
// not its entry. Its renewals succeed, while any other host may take the duty and replace the primary. It must not
// take the renewed lease for the duty, or callers would read old data under the leases that it grants. The cause: an
// answer to a renewal was taken for the entry's, whichever copy of the store gave it (no "duty_lost" followed on the
// renewal, while the store had no entry).
func TestLeaseInRestoredStoreDoesNotGrantRole(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.coordinatorHost()
		d := holder.coordinatorOf(testGroup)
		b := s.backup()
		delete(b.items, holder.coordinatorKey(testGroup))
		s.restore(b)
		renewLeaseNow(holder, d)
		if d.wasSoleHolder(time.Now()) {
			t.Error("the host counts on a duty that is gone")
		}
		time.Sleep(leadership.RenewalInterval + coordinatorPollInterval + 50*time.Millisecond)
		d.mu.Lock()
		token := d.token
		d.mu.Unlock()
		if entry := s.revisionOf(holder.coordinatorKey(testGroup)); d.wasSoleHolder(time.Now()) && entry != token {
			t.Errorf("the host counts on a duty that it took at %v, the entry is of %v", token, entry)
		}
	})
}

// A holder hands the duty back, and the store is copied. The next holder takes the duty, is cut off with the primary,
// and the store comes back from the copy: there the duty was handed back, and nobody has it. Whoever takes it then and
// promotes another member must wait as after any other holder that may not know of its end: a host that the one before
// reaches alone would read old data under its leases. The cause: what the copy said of the last holder was believed,
// whoever had held the duty since ("a lease on the old primary holds for 580ms more").
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
				t.Fatal("the duty was not handed back")
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		second := f.coordinatorHost()
		if second == nil || second == first {
			t.Fatal("nobody else took the duty")
		}
		wantLeasesWaitedOut(t, s, f, second, func() { s.restore(b) })
	})
}

// A host holds the duty when the store is copied. Its process ends, another host takes the duty and is cut off with the
// primary, and the store comes back from the copy: there the duty is the first host's, whose new process takes it up
// again. It may not take that for a duty which nobody had since: it must outwait the leases of the one in between, which
// held for 774 ms more when another member led.
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
			t.Fatal("nobody else took the duty")
		}
		wantLeasesWaitedOut(t, s, f, second, func() { s.restore(b) })
	})
}

// The platform checks no tokens, leaves an order unanswered and carries it out six seconds later. The holder dies right
// after it, the store comes back from a copy that lacks the record of the order, and the old primary answers again. The
// next holder has seen the record before the store went away, and must still know of the order: if it let the old
// primary acknowledge writes with the other replica, they would be lost. The cause: only the store's record was read
// ("record_inherited", "ordered":"" right after a "promotion_open").
func TestOpenPromotionSurvivesStoreRestore(t *testing.T) {
	testPendingPromotion(t, func(s *fakeSite, b storeBackup) {
		delete(b.items, "own/duty/"+testGroup)
		s.restore(b)
	})
}

// The operator takes a key away, and the store comes back from a copy in which the key still stands. The operator has not
// written again when a host starts that the store turns away: it learns from another one. That one must pass on the
// configuration that is in force, or callers get in with the key that was taken away. The cause: what the store showed
// was passed on, whatever was in force ("passes on version 1", with version 2 in force).
func TestRestoredOldConfigIsNotPropagated(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		b := s.backup()
		f.newConfig(2, 20)
		time.Sleep(time.Second)
		s.restore(b)
		time.Sleep(1500 * time.Millisecond)
		for _, h := range f.all() {
			news, _, err := h.storeView.After(0)
			if err != nil || !news.Full {
				t.Fatalf("%+v, %v", news, err)
			}
			for _, i := range news.Items {
				if i.Key == "config" && i.Value[0] != 2 {
					t.Errorf("%s passes on version %d", h.settings.Host, i.Value[0])
				}
			}
		}
	})
}

// A replica says that it is about to leave, and the store comes back from a copy that does not know of it. Until the
// member writes again, hosts would send it new work, of which some would meet its end. And a member that was promoted
// after the copy was made still leads. The cause: an entry of the copy was taken for news of the member, though it
// counts fewer writes of its own than the one known.
func TestRestoredMembersKeepKnownState(t *testing.T) {
	withFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		b := s.backup()
		s.updateMember("a", func(m *fakeMember) { m.crashed = true })
		time.Sleep(3 * time.Second)
		leader := s.primaryID()
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
			if m := g.members[leader]; leader == "a" || m == nil || !m.IsPrimary {
				t.Errorf("%s believes that %s does not lead", h.settings.Host, leader)
			}
			g.mu.Unlock()
		}
	})
}

// Hosts have written their entries after the store was copied, under leases of before. The store comes back, the leases
// stand, and the entries are gone: hosts that start then would share the members' connections as if they were alone, and
// pass nothing on to the others. Each host must write its entry again with its next renewal. The cause: a renewal that
// succeeded was taken for the entry's, whichever copy of the store answered.
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

// The record of who may hold portions of quotas is lost with the store's return. Whoever takes the duty then must name all
// hosts, before it hands anything out, since any of them may have held the duty and got portions of which the record that
// is left says nothing: they would be spent beside those that it hands out.
func TestAllHostsMayHoldPortionsAfterTheStoreWasRestored(t *testing.T) {
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
		r, err := decodeRecord(i.Value)
		if err != nil || len(r.Grantees) != 4 || len(r.Granters) != 4 {
			t.Errorf("%v may hold portions, and %v may grant them; %v", r.Grantees, r.Granters, err)
		}
	})
}

// A holder has taken all leases back and fenced the replicas when the store comes back from a copy: it loses the duty, and
// takes it up again at once. What it goes on to order would be under the new duty, without having waited for the leases of
// a holder that the store forgot: a host that reaches that one alone would read old data.
func TestPromotionUnderLostRoleIsNotRequested(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		d := h.coordinatorOf(testGroup)
		w := &groupMonitor{coordinator: d, roundAcquiredAt: d.acquiredTime()}
		s.restore(s.backup())
		time.Sleep(time.Second)
		if !d.isHeld() || d.acquiredTime().Equal(w.roundAcquiredAt) {
			t.Fatal("the duty was not taken up again")
		}
		w.promote(context.Background(), "b", successorChoice{})
		if orders := s.promotionOrders(); len(orders) > 0 {
			t.Errorf("%v was ordered", orders)
		}
	})
}

// After the store's return every host must know of it within the 3 s in which a configuration must be in force, also in a
// fleet in which most learn from others, and somebody must hold the duty again. The times are logged.
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
				known := waitFor(t, func() bool { return f.inEpoch(1) })
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
				t.Logf("%d hosts: known everywhere after %s, the duty held after %s", hosts, known, held)
			})
		})
	}
}

// inEpoch reports whether all hosts know of the store's epoch.
func (f *fakeFleet) inEpoch(e kv.Epoch) bool {
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

// waitFor waits until the condition holds, and returns for how long.
func waitFor(t *testing.T, holds func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !holds() {
		if time.Since(started) > 10*time.Second {
			t.Fatal("it does not come to hold")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}
