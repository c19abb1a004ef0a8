package gateway

import (
	"fmt"
	"testing"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
)

// twoAccounts are the client accounts that these tests configure, each with its key.
var twoAccounts = []string{"bakery k1", "hotel k2"}

// statementsByAccount returns the number of statements that ran on connections of each account.
func (s *fakeSite) statementsByAccount() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, a := range s.ranFor {
		out[a]++
	}
	return out
}

// Callers of two accounts alternate. A member tells the account of a statement by its connection,
// so no statement may run on a connection of the other account.
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

// A host that does not serve the group forwards statements. The serving host does not get the key,
// and must run each statement for the account that the first host determined.
func TestForwardedStatementsKeepTheirAccount(t *testing.T) {
	withFleet(t, 20, 20, freshness.OwnWrites{}, func(s *fakeSite, f *fakeFleet) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(3 * time.Second)
		_, others := f.serving()
		for i, h := range others {
			if r := execAs(h, []string{"k1", "k2"}[i%2], Write{}); r.Failure != nil {
				t.Error(r.Failure)
			}
			if r := execAs(h, "k3", Read{}); r.Failure == nil || r.Failure.Code != Unauthorized {
				t.Errorf("an unknown key got %v", r.Failure)
			}
		}
		got := s.statementsByAccount()
		if got["bakery"]+got["hotel"] != len(others) || len(got) != 2 {
			t.Errorf("%d statements by account: %v", len(others), got)
		}
	})
}

// A connection belongs to an account. If hosts of a zone forwarded an account's statements to different serving hosts of
// that zone, each of these would need connections for every account. This includes the callers of the serving hosts.
func TestAccountHasOneServingHostInAZone(t *testing.T) {
	withFleetInZones(t, 1, 20, 20, freshness.OwnWrites{}, func(s *fakeSite, f *fakeFleet) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(3 * time.Second)
		for _, h := range f.all() {
			if r := execAs(h, "k1", Write{}); r.Failure != nil {
				t.Error(r.Failure)
			}
			caller := openSessionAs(t, h, "k1")
			execIn(caller, Begin{})
			execIn(caller, Write{})
			if r := execIn(caller, Commit{}); r.Failure != nil {
				t.Error(r.Failure)
			}
		}
		if home := f.homeOf(t, "bakery"); f.forwardedTo[home] < 3*19 || len(f.forwardedTo) != 1 {
			t.Errorf("the home server is %s; statements of one account by host: %v", home, f.forwardedTo)
		}
		f.wantNoForwardedWork(t)
	})
}

// homeOf returns the home server of an account, on which all hosts of a fleet in one zone must agree.
func (f *fakeFleet) homeOf(t *testing.T, name string) string {
	t.Helper()
	home := ""
	for _, h := range f.all() {
		if o, ok := h.group(testGroup).loads.HomeElsewhere(name); ok {
			if home != "" && o.ID != home {
				t.Errorf("%s and %s are the home servers of one account", home, o.ID)
			}
			home = o.ID
		}
	}
	return home
}

// The callers of each zone must be served there, although accounts have home servers: otherwise the bytes between zones
// double.
func TestAccountsAreServedInTheZoneOfTheirCallers(t *testing.T) {
	withFleet(t, 20, 20, freshness.OwnWrites{}, func(s *fakeSite, f *fakeFleet) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(3 * time.Second)
		zoneOf, hasServer := map[string]string{}, map[string]bool{}
		serving, _ := f.serving()
		for _, h := range serving {
			zoneOf[h.settings.Host], hasServer[h.settings.Zone] = h.settings.Zone, true
		}
		for _, h := range f.all() {
			clear(f.forwardedTo)
			if r := execAs(h, "k1", Write{}); r.Failure != nil {
				t.Error(r.Failure)
			}
			for server := range f.forwardedTo {
				if hasServer[h.settings.Zone] && zoneOf[server] != h.settings.Zone {
					t.Errorf("%s in %s forwarded to %s in %s", h.settings.Host, h.settings.Zone, server, zoneOf[server])
				}
			}
		}
	})
}

// The home server of an account is unreachable. A host that serves the group too must run the statements of its callers
// itself, and none may be forwarded twice.
func TestServingHostReplacesTheHomeServer(t *testing.T) {
	withFleetInZones(t, 1, 20, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(3 * time.Second)
		home := f.homeOf(t, "bakery")
		f.setFault(f.unreachable, home, true)
		serving, _ := f.serving()
		for _, h := range serving {
			if h.settings.Host == home {
				continue
			}
			started := time.Now()
			if r := execAs(h, "k1", Write{}); r.Failure != nil {
				t.Error(r.Failure)
			}
			if took := time.Since(started); took > 250*time.Millisecond {
				t.Errorf("a write took %s", took)
			}
		}
		if len(f.forwardedTo) != 0 {
			t.Errorf("statements were forwarded: %v", f.forwardedTo)
		}
	})
}

// A host of an older version without support for accounts forwards a statement with none. It would
// be counted for no account, so it is declined and does not run.
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

// An operator revokes a key while one of its callers has an idle session and another is in a
// transaction. Nothing more may run for either, the transaction is rolled back, and the account's
// callers with a valid key are still served.
func TestRevokedKeyAbortsOpenTransaction(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.put("config", configWithAccounts(52, 20, twoAccounts...), 0)
		time.Sleep(2 * time.Second)
		idle, active := openSessionAs(t, h, "k1"), openSessionAs(t, h, "k1")
		execIn(active, Begin{})
		if r := execIn(active, Write{}); r.Failure != nil {
			t.Fatal(r.Failure)
		}
		s.put("config", configWithAccounts(53, 20, "bakery k9", "hotel k2"), 0)
		time.Sleep(2 * time.Second)
		before := len(s.statementsByAccount())
		ran := s.statementsByAccount()["bakery"]
		wantCode(t, execIn(idle, Read{}), Unauthorized)
		wantCode(t, execIn(active, Commit{}), Aborted)
		if active.State() != Idle || idle.Authorized() {
			t.Errorf("state %s, authorized %v", active.State(), idle.Authorized())
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
	s, failure := h.Open(testDatabase, account.Credentials{KeyFingerprint: account.FingerprintOf(key)})
	if failure != nil {
		t.Fatal(failure)
	}
	return s
}

// A configuration that has lost its accounts would admit every caller. It is rejected, and the
// previous one stays in force.
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

// A member accepts six connections, of which two are reserved for control commands, and ten accounts
// share the other four. Each caller gets one, in place of the account that has been unused for
// longest, and the members' connection limits hold.
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
			t.Errorf("%d connections to a member at once, want at most 6", s.peakConns)
		}
		if got := s.statementsByAccount(); len(got) != 10 {
			t.Errorf("statements by account: %v", got)
		}
	})
}
