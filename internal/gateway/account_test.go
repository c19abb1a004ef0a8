package gateway

import (
	"fmt"
	"testing"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
)

// twoAccounts are in force in these tests.
var twoAccounts = []string{"bakery k1", "hotel k2"}

// statementsByAccount returns on whose connections statements ran, and how many.
func (s *fakeSite) statementsByAccount() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, a := range s.ranFor {
		out[a]++
	}
	return out
}

// Callers of two accounts take turns. Members are told whose statement each one is by the connection on
// which it comes, so no statement may run on a connection of the other account.
func TestStatementsRunOnConnectionsOfTheirAccount(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(2 * time.Second)
		for range 6 {
			for _, key := range []string{"k1", "k2"} {
				for _, st := range []Statement{Read{}, Write{}} {
					if r := execAs(h, key, st); r.Failure != nil {
						t.Error(r.Failure)
					}
				}
			}
		}
		if got := s.statementsByAccount(); got["bakery"] != 12 || got["hotel"] != 12 || len(got) != 2 {
			t.Errorf("statements by account: %v", got)
		}
	})
}

// A host that does not serve the group passes statements on. The host that does has not seen the key, and
// must run each one for the account that the first host found.
func TestForwardedStatementsKeepTheirAccount(t *testing.T) {
	withFleet(t, 20, 20, freshness.OwnWrites{}, func(s *fakeSite, f *fakeFleet) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(3 * time.Second)
		_, elsewhere := f.serving()
		for i, h := range elsewhere {
			if r := execAs(h, []string{"k1", "k2"}[i%2], Write{}); r.Failure != nil {
				t.Error(r.Failure)
			}
			if r := execAs(h, "k3", Read{}); r.Failure == nil || r.Failure.Code != Unauthorized {
				t.Errorf("an unknown key got %v", r.Failure)
			}
		}
		got := s.statementsByAccount()
		if got["bakery"]+got["hotel"] != len(elsewhere) || len(got) != 2 {
			t.Errorf("%d statements by account: %v", len(elsewhere), got)
		}
	})
}

// A host of an older version knows nothing of accounts and passes a statement on without one. Run under
// this host's own name it would count as nobody's, so it is declined, and has not run.
func TestForwardedStatementWithoutItsAccountIsDeclined(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(2 * time.Second)
		r := &PeerRequest{From: "old", Serial: 1, Group: testGroup, Route: Route{Class: freshness.Latest{}}, Request: Request{ID: "1", Statement: Read{}}}
		if declined := h.NewForwardedSession().Accept(r); declined == nil || declined.Declined != AccountMissing {
			t.Errorf("got %+v", declined)
		}
		r.Serial, r.Route.Public = 2, true
		if declined := h.NewForwardedSession().Accept(r); declined != nil {
			t.Errorf("a public route's statement was declined: %s", declined.Declined)
		}
	})
}

// An operator takes a key away. Its caller has a session, and another one is in the middle of a
// transaction. Nothing new may run for either, nothing of the transaction is kept, and the account's other
// callers go on.
func TestRevokedKeyAbortsOpenTransaction(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(2 * time.Second)
		resting, working := openSessionAs(t, h, "k1"), openSessionAs(t, h, "k1")
		execIn(working, Begin{})
		if r := execIn(working, Write{}); r.Failure != nil {
			t.Fatal(r.Failure)
		}
		s.put("config", configWithAccounts(53, 20, "bakery k9", "hotel k2"), 0)
		time.Sleep(2 * time.Second)
		before := len(s.statementsByAccount())
		ran := s.statementsByAccount()["bakery"]
		wantCode(t, execIn(resting, Read{}), Unauthorized)
		wantCode(t, execIn(working, Commit{}), Aborted)
		if working.State() != Idle || resting.Authorized() {
			t.Errorf("state %s, allowed %v", working.State(), resting.Authorized())
		}
		if r := execAs(h, "k1", Read{}); r.Failure == nil || r.Failure.Code != Unauthorized {
			t.Errorf("a new session got %v", r.Failure)
		}
		if got := s.statementsByAccount(); got["bakery"] != ran || len(got) != before {
			t.Errorf("statements by account: %v, %d of the bakery before", got, ran)
		}
		for _, key := range []string{"k9", "k2"} {
			if r := execAs(h, key, Write{}); r.Failure != nil {
				t.Errorf("key %s: %v", key, r.Failure)
			}
		}
		wantNoLostWrites(t, s)
	})
}

func openSessionAs(t *testing.T, h *Host, key string) *Session {
	t.Helper()
	s, failure := h.Open(testDatabase, account.Caller{Key: account.FingerprintOf(key)})
	if failure != nil {
		t.Fatal(failure)
	}
	return s
}

// A configuration that has lost its accounts would let everybody in. It is refused, and the one before
// stays in force.
func TestConfigWithoutAccountsIsRejected(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(2 * time.Second)
		s.put("config", []byte{53, 20}, 0)
		time.Sleep(2 * time.Second)
		wantCode(t, execAs(h, "nobody's", Read{}), Unauthorized)
		if r := execAs(h, "k1", Read{}); r.Failure != nil {
			t.Error(r.Failure)
		}
	})
}

// Ten accounts share four connections a member: whoever comes finds one, in place of the account that was
// not there for longest, and the members' connections are never exceeded.
func TestManyAccountsShareFewConnections(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		var lines []string
		for i := range 10 {
			lines = append(lines, fmt.Sprintf("a%d k%d", i, i))
		}
		s.mu.Lock()
		s.maxConns = 6
		s.mu.Unlock()
		s.put("config", configWithAccounts(52, 6, lines...), 0)
		time.Sleep(2 * time.Second)
		for n := range 40 {
			if r := execAs(h, fmt.Sprint("k", n*7%10), Write{}); r.Failure != nil {
				t.Errorf("account %d: %v", n*7%10, r.Failure)
			}
		}
		if s.peakConns > 6 {
			t.Errorf("%d connections at once", s.peakConns)
		}
		if got := s.statementsByAccount(); len(got) != 10 {
			t.Errorf("statements by account: %v", got)
		}
	})
}
