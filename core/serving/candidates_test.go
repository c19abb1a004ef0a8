package serving

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pearlatch/core/membership"
)

// The counted ranks must agree with the full ranking after any sequence of host lists. Otherwise a host that is ranked for
// a group may neither serve it nor acquire its coordinator role.
func TestIsCandidateMatchesRanking(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	all := testHosts(90, 3)
	self := all[4]
	var groups []string
	for i := range 40 {
		groups = append(groups, fmt.Sprint("group-", i))
	}
	table := &Table{}
	table.TrackCandidates(self, groups[:20])
	for round := range 200 {
		present := random.Float64()
		var hosts []membership.Host
		for _, h := range all {
			if h.ID == self.ID || random.Float64() < present {
				h.Leaving = h.ID != self.ID && random.IntN(10) == 0
				hosts = append(hosts, h)
			}
		}
		table.Update(hosts)
		if round == 100 {
			table.TrackCandidates(self, groups)
		}
		for _, name := range groups[:min(40, 20+20*(round/100))] {
			ranked := slices.ContainsFunc(table.Ranked(name), func(h membership.Host) bool { return h.ID == self.ID })
			if table.IsCandidate(name) != ranked {
				t.Fatalf("round %d, %s: candidate %t, ranked %t", round, name, table.IsCandidate(name), ranked)
			}
		}
	}
}

// The number of groups for which a host is a candidate must not grow when hosts and groups grow together.
func TestCandidateGroupsStayBoundedAsFleetGrows(t *testing.T) {
	for _, n := range []int{100, 400, 1600} {
		hosts := testHosts(n, 5)
		table := newTable(hosts)
		var groups []string
		for i := range n {
			groups = append(groups, fmt.Sprint("group-", i))
		}
		table.TrackCandidates(hosts[0], groups)
		candidate := 0
		for _, name := range groups {
			if table.IsCandidate(name) {
				candidate++
			}
		}
		if most := 2 * rankedPerZone * 5; candidate > most {
			t.Errorf("one of %d hosts is a candidate for %d of %d groups, want at most %d", n, candidate, n, most)
		}
	}
}
