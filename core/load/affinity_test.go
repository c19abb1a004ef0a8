package load

import (
	"fmt"
	"slices"
	"testing"
)

func testServers(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{ID: fmt.Sprintf("h%d", i)})
	}
	return out
}

// affinityIDs returns the IDs of the servers in the order of AppendAffinity.
func affinityIDs(account string, servers []Server) []string {
	var out []string
	for _, i := range AppendAffinity(nil, "g", account, servers) {
		out = append(out, servers[i].ID)
	}
	return out
}

// Entry hosts list the servers in different orders, those of their own zone first, and must agree on the home server. The
// loss of a server must move only its own accounts, each to its next server, and the accounts must be spread over the
// servers. Otherwise each server would need connections for every account.
func TestAllHostsAgreeOnTheHomeServer(t *testing.T) {
	servers := testServers(3)
	homes := map[string]int{}
	for i := range 900 {
		account := fmt.Sprintf("account%d", i)
		order := affinityIDs(account, servers)
		homes[order[0]]++
		if other := affinityIDs(account, []Server{servers[2], servers[1], servers[0]}); !slices.Equal(order, other) {
			t.Fatalf("%s: %v in one order of the servers, %v in the other", account, order, other)
		}
		rest := affinityIDs(account, servers[1:])
		if want := slices.DeleteFunc(order, func(id string) bool { return id == "h0" }); !slices.Equal(rest, want) {
			t.Fatalf("%s: %v without h0, want %v", account, rest, want)
		}
	}
	for id, n := range homes {
		if n < 250 || n > 350 {
			t.Errorf("%s is the home of %d of 900 accounts", id, n)
		}
	}
}
