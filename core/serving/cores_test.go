package serving

import (
	"fmt"
	"testing"

	"pearlatch/core/membership"
)

// unevenHosts returns a fleet in which the first ten hosts of each availability zone have eight times the cores of the
// others.
func unevenHosts(n, zones int) []membership.Host {
	hosts := testHosts(n, zones)
	for i := range hosts {
		hosts[i].Cores = 0.2
		if i < 10*zones {
			hosts[i].Cores = 1.6
		}
	}
	return hosts
}

// In a fleet of 1,000 groups every host held some duty and renewed a lease of its own. The hosts with the most cores must
// hold all duties, spread evenly, and the others must take them over when those hosts are gone.
func TestRolesGoToHostsWithMostCores(t *testing.T) {
	hosts := unevenHosts(500, 5)
	table := newTable(hosts)
	held := map[string]int{}
	for i := range 1000 {
		first := table.RankedCoordinators(fmt.Sprint("group-", i))[0]
		if first.Cores < 1 {
			t.Fatalf("group-%d: duty is held by %+v, want a host with 1.6 cores", i, first)
		}
		held[first.ID]++
	}
	if len(held) != 50 {
		t.Errorf("%d hosts hold duties, want 50", len(held))
	}
	for id, n := range held {
		if n > 45 {
			t.Errorf("%s holds %d of 1,000 duties, its share is 20", id, n)
		}
	}
	table.Update(hosts[50:])
	if first := table.RankedCoordinators("group-0"); len(first) == 0 {
		t.Error("no host takes the duty after the hosts with the most cores are gone")
	}
}

// The share of groups that a host serves must be proportional to its cores.
func TestServingIsWeightedByCores(t *testing.T) {
	table := newTable(unevenHosts(500, 5))
	large := 0
	for i := range 1000 {
		for _, h := range table.Ranked(fmt.Sprint("group-", i))[:5] {
			if h.Cores > 1 {
				large++
			}
		}
	}
	// 50 hosts of 1.6 and 450 of 0.2 cores: 47 % of all cores.
	if share := float64(large) / 5000; share < 0.42 || share > 0.52 {
		t.Errorf("hosts with 1.6 cores serve %.2f of the groups, want 0.47", share)
	}
}

// Hosts near the root of a zone's update tree send to the most hosts. The link of a host with few cores can carry a list to
// only eight hosts at a time.
func TestUpdateSourcesHaveMostCores(t *testing.T) {
	hosts := unevenHosts(500, 5)
	table := newTable(hosts)
	for _, h := range hosts {
		sources := table.UpdateSources(h)
		if sources.StoreFirst && h.Cores < 1 {
			t.Errorf("%s has few cores and reads from the store", h.ID)
		}
		if len(sources.Hosts) > 0 && sources.Hosts[0].Cores < 1 {
			t.Errorf("preferred source of %s is %+v", h.ID, sources.Hosts[0])
		}
	}
}
