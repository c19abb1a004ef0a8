package serving

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pearlatch/core/membership"
)

// A host that does not find itself among the candidates of a group that ranks it would neither serve the group nor take
// its duty: the counts must agree with the ranking after any history of the list.
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

// A host concerns itself with a number of groups that stays as it is while hosts and groups grow together.
func TestCandidateGroupsStayBoundedAsFleetGrows(t *testing.T) {
	for _, n := range []int{100, 400, 1600} {
		hosts := testHosts(n, 5)
		table := newTable(hosts)
		var groups []string
		for i := range n {
			groups = append(groups, fmt.Sprint("group-", i))
		}
		table.TrackCandidates(hosts[0], groups)
		mine := 0
		for _, name := range groups {
			if table.IsCandidate(name) {
				mine++
			}
		}
		if most := 2 * rankedPerZone * 5; mine > most {
			t.Errorf("%d of %d groups concern a host of %d, want at most %d", mine, n, n, most)
		}
	}
}
