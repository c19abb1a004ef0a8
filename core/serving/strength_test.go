package serving

import (
	"fmt"
	"testing"

	"pearlatch/core/membership"
)

// unevenHosts returns a fleet in which the first ten hosts of each availability zone are eight times as strong as the others.
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

// A fleet of 1,000 groups had as many holders of duties as there are hosts, each with a lease of its own to renew. The
// strong hosts hold them, spread evenly, and the next strongest ones when those are gone.
func TestDutiesGoToHostsWithMostCores(t *testing.T) {
	hosts := unevenHosts(500, 5)
	table := newTable(hosts)
	held := map[string]int{}
	for i := range 1000 {
		first := table.RankedForDuty(fmt.Sprint("group-", i))[0]
		if first.Cores < 1 {
			t.Fatalf("group-%d: %+v holds the duty", i, first)
		}
		held[first.ID]++
	}
	if len(held) != 50 {
		t.Errorf("%d hosts hold duties", len(held))
	}
	for id, n := range held {
		if n > 45 {
			t.Errorf("%s holds %d of 1,000 duties, 20 are its part", id, n)
		}
	}
	table.Update(hosts[50:])
	if first := table.RankedForDuty("group-0"); len(first) == 0 {
		t.Error("nobody is to hold the duty without the strong hosts")
	}
}

// Hosts serve groups as their strengths say.
func TestServingIsWeightedByCores(t *testing.T) {
	table := newTable(unevenHosts(500, 5))
	strong := 0
	for i := range 1000 {
		for _, h := range table.Ranked(fmt.Sprint("group-", i))[:5] {
			if h.Cores > 1 {
				strong++
			}
		}
	}
	// 50 hosts of 1.6 and 450 of 0.2 cores: 47 % of the strength.
	if share := float64(strong) / 5000; share < 0.42 || share > 0.52 {
		t.Errorf("strong hosts serve %.2f of the groups, want 0.47", share)
	}
}

// Hosts near the root of a zone's tree send news to the most others: a weak one's link carries a list to eight at a time.
func TestUpdateSourcesHaveMostCores(t *testing.T) {
	hosts := unevenHosts(500, 5)
	table := newTable(hosts)
	for _, h := range hosts {
		feeds := table.UpdateSources(h)
		if feeds.StoreFirst && h.Cores < 1 {
			t.Errorf("%s asks the store", h.ID)
		}
		if len(feeds.Hosts) > 0 && feeds.Hosts[0].Cores < 1 {
			t.Errorf("%s learns from %+v", h.ID, feeds.Hosts[0])
		}
	}
}
