package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// restoreAfter makes the store come back after an outage from a copy that lacks the changes made meanwhile by
// change. What the operator and the members wrote last is written again.
func restoreAfter(s *fakeSite, away time.Duration, change func()) {
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
		s.list(m.id, "ready")
	}
}

// scribble makes the store's revision rise.
func (s *fakeSite) scribble(times int) {
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
			playFleet(t, 12, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
				f.newConfig(2, 20)
				restoreAfter(s, 3*time.Second, func() {
					s.scribble(30)
					f.newConfig(3, 20)
					time.Sleep(time.Second)
				})
				time.Sleep(time.Second)
				f.newConfig(4, 20)
				s.scribble(later)
				time.Sleep(2900 * time.Millisecond)
				if late := f.behind(4); len(late) > 0 {
					t.Errorf("%v are behind", late)
				}
			})
		})
	}
}

// The duty changed hands shortly before the store went away, and the store came back from a copy that has the holder
// before. Revisions began again at a smaller one, and with them the fencing tokens: the platform had seen a higher
// one and refused all orders. When the primary goes dark then, another member must lead within a few seconds.
func TestPrimaryIsReplacedAfterTheStoreWasRestored(t *testing.T) {
	playFleet(t, 4, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		do(f.all()[0], Write{})
		restoreAfter(s, 2*time.Second, func() {
			s.scribble(100)
			s.takeAway(f.holderOf())
			time.Sleep(2 * time.Second) // another host, or the same one again, has raised its token
		})
		time.Sleep(4 * time.Second)
		s.with("a", func(m *fakeMember) { m.silent = true })
		time.Sleep(6 * time.Second)
		if s.leader() == "a" {
			t.Error("the primary was not replaced")
		}
		wantNothingLost(t, s)
	})
}

// A host took the duty right before the store went away, and the store came back from a copy that has its lease and
// not its entry. Its renewals succeed, while any other host may take the duty and replace the primary. It must not
// take the renewed lease for the duty, or callers would read old data under the leases that it grants. The cause: an
// answer to a renewal was taken for the entry's, whichever copy of the store gave it (no "duty_lost" followed on the
// renewal, while the store had no entry).
func TestLeaseOfARestoredStoreIsNoDuty(t *testing.T) {
	playFleet(t, 3, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.holderOf()
		d, _ := holder.dutyOf(holder.group(testGroup))
		b := s.backup()
		delete(b.items, holder.dutyKey(testGroup))
		s.restore(b)
		d.renew(context.Background())
		if d.certain(time.Now()) {
			t.Error("the host counts on a duty that is gone")
		}
		time.Sleep(dutyRenewal + dutyPoll + 50*time.Millisecond)
		d.mu.Lock()
		token := d.token
		d.mu.Unlock()
		if entry := s.revisionOf(holder.dutyKey(testGroup)); d.certain(time.Now()) && entry != token {
			t.Errorf("the host counts on a duty that it took at %v, the entry is of %v", token, entry)
		}
	})
}
