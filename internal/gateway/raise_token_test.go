package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
)

// A fleet starts for the first time, and takes a thousand duties before a platform that accepts fifty calls a second. No
// holder came before who could have ordered anything, so that leases are granted at once and the platform is not called.
// The holder after the first one shows its token before all else.
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
		first := s.revisionOf("own/duty/" + testGroup)
		stop1()
		_, stop2 := startHost(s, "h2", freshness.Latest{})
		time.Sleep(coordinatorLeaseTTL + 2*time.Second)
		if raised := s.highestToken(); raised <= int64(first) {
			t.Errorf("after the second holder the highest token is %d, that of the first was %d", raised, first)
		}
		stop2()
		time.Sleep(10 * time.Second)
	})
}

// highestToken returns the highest token that the platform has seen.
func (s *fakeSite) highestToken() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token
}
