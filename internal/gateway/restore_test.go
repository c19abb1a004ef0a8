package gateway

import (
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
// smaller one than the hosts knew. They took its lists for old ones for six seconds, until its revision had
// passed the one that they knew, and after that passed over the configuration, which had been written at a smaller
// revision than the one before. All that is acknowledged after the store's return must be in force within 3 s,
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
