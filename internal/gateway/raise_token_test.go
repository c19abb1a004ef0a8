package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
)

// A fleet starts for the first time and acquires a thousand roles, while the platform accepts fifty calls a second. No earlier
// coordinator can have requested a promotion, so leases are granted at once and no token is raised. The second coordinator
// of a group must raise its token first.
func TestFirstCoordinatorNeedsNoRaisedToken(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		h, stop1 := startHost(s, "h1", freshness.Latest{})
		time.Sleep(3 * time.Second)
		exec(h, Read{})
		time.Sleep(time.Second)
		if raised := s.highestToken(); raised != 0 {
			t.Errorf("the token %d was raised", raised)
		}
		if !h.existingGroup(testGroup).hasLease("a", time.Now()) {
			t.Error("no lease was granted")
		}
		firstToken := s.revisionOf("own/duty/" + testGroup)
		stop1()
		_, stop2 := startHost(s, "h2", freshness.Latest{})
		time.Sleep(coordinatorLeaseTTL + 2*time.Second)
		if raised := s.highestToken(); raised <= int64(firstToken) {
			t.Errorf("the highest token is %d under the second coordinator, the first one's was %d", raised, firstToken)
		}
		stop2()
		time.Sleep(10 * time.Second)
	})
}

// highestToken returns the highest token that the fake platform has seen.
func (s *fakeSite) highestToken() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token
}
