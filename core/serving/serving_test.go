package serving

import (
	"fmt"
	"net/netip"
	"testing"

	"pearlatch/core/membership"
)

// testHosts returns n hosts spread evenly over availability zones.
func testHosts(n, zones int) []membership.Host {
	out := make([]membership.Host, n)
	for i := range out {
		out[i] = membership.Host{ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Peer: testPeer}
	}
	return out
}

var testPeer = netip.MustParseAddrPort("10.0.0.1:7432")

// newTable returns a table with the given hosts.
func newTable(hosts []membership.Host) *Table {
	t := &Table{}
	t.Update(hosts)
	return t
}

// servingHostsOf returns the hosts that serve a group where not all hosts serve.
func servingHostsOf(t *Table, group string, connections int) []membership.Host {
	p := t.Plan(membership.Host{}, group, connections)
	return p.Ranked[:p.DedicatedServers]
}

func TestHostCount(t *testing.T) {
	for _, c := range []struct {
		name                             string
		connections, hosts, zones, count int
	}{
		{"enough connections for all hosts", 21, 8, 3, 8},
		{"too few connections for all hosts: one host in each zone", 32, 68, 3, 3},
		{"more connections than one host in each zone needs", 92, 64, 5, 5},
		{"a single zone", 92, 64, 1, 3},
		{"too few connections for all zones", 20, 600, 6, 2},
		{"one connection", 1, 5, 2, 1},
		{"one host", 21, 1, 1, 1},
		{"no known hosts", 21, 0, 0, 1},
	} {
		if got := HostCount(c.connections, c.hosts, c.zones); got != c.count {
			t.Errorf("%s: %d serving hosts, want %d", c.name, got, c.count)
		}
	}
}

// Without a serving host in their zone, hosts would forward every statement to another zone.
func TestOneServingHostPerZone(t *testing.T) {
	table := newTable(testHosts(60, 5))
	for i := range 50 {
		zones := map[string]int{}
		for _, h := range servingHostsOf(table, fmt.Sprint("group-", i), 92) {
			zones[h.Zone]++
		}
		for zone, n := range zones {
			if n != 1 {
				t.Fatalf("group-%d: %d servers in %s, want 1 (%v)", i, n, zone, zones)
			}
		}
		if len(zones) != 5 {
			t.Fatalf("group-%d: servers in %d zones", i, len(zones))
		}
	}
}

// A leaving host must not change the other serving hosts of a group, since each change
// opens a new set of connections to three members.
func TestLeavingHostKeepsOtherServingHosts(t *testing.T) {
	hosts := testHosts(60, 3)
	table := newTable(hosts)
	for i := range 50 {
		group := fmt.Sprint("group-", i)
		table.Update(hosts)
		before := servingHostsOf(table, group, 32)
		updated := make([]membership.Host, len(hosts))
		copy(updated, hosts)
		for j := range updated {
			updated[j].Leaving = updated[j].ID == before[0].ID
		}
		table.Update(updated)
		after := servingHostsOf(table, group, 32)
		kept := 0
		for _, h := range after {
			for _, o := range before[1:] {
				if h.ID == o.ID {
					kept++
				}
			}
			if h.Leaving {
				t.Errorf("%s: the leaving host still serves", group)
			}
		}
		if kept != len(before)-1 || len(after) != len(before) {
			t.Errorf("%s: of %d other servers %d stayed", group, len(before)-1, kept)
		}
	}
}

func TestForwardingOrderPrefersOwnZone(t *testing.T) {
	servers := servingHostsOf(newTable(testHosts(60, 3)), "g", 60)
	first := map[string]int{}
	for _, self := range testHosts(60, 3) {
		ordered := ForwardingOrder(self, servers)
		if ordered[0].Zone != self.Zone {
			t.Fatalf("%s of %s forwards to %s", self.ID, self.Zone, ordered[0].Zone)
		}
		first[ordered[0].ID]++
	}
	if len(first) != len(servers) {
		t.Errorf("hosts forward to %d of %d servers", len(first), len(servers))
	}
}

// Store updates must reach every host: following the preferred source of any host must lead
// to a host that reads from the store.
func TestUpdateSourcesLeadToStore(t *testing.T) {
	hosts := testHosts(200, 3)
	table := newTable(hosts)
	byID := map[string]membership.Host{}
	followers := map[string]int{}
	for _, h := range hosts {
		byID[h.ID] = h
	}
	reading := 0
	for _, h := range hosts {
		steps := 0
		for at := h; ; steps++ {
			sources := table.UpdateSources(at)
			if sources.StoreFirst {
				break
			}
			if steps == 0 {
				followers[sources.Hosts[0].ID]++
			}
			at = byID[sources.Hosts[0].ID]
			if steps > 5 {
				t.Fatalf("the sources of %s do not lead to the store", h.ID)
			}
		}
		if steps == 0 {
			reading++
		}
	}
	if reading != 3 {
		t.Errorf("%d hosts read from the store, want one in each of 3 zones", reading)
	}
	for id, n := range followers {
		if n > treeFanOut {
			t.Errorf("%s sends updates to %d hosts", id, n)
		}
	}
}

// A restarted host knows only itself and must not wait for other hosts.
func TestLoneHostReadsStore(t *testing.T) {
	self := membership.Host{ID: "one", Zone: "z", Peer: testPeer}
	if f := newTable([]membership.Host{self}).UpdateSources(self); !f.StoreFirst || len(f.Hosts) != 0 {
		t.Errorf("update sources of the only host: %+v", f)
	}
	if f := (&Table{}).UpdateSources(self); !f.StoreFirst {
		t.Errorf("update sources of an unlisted host: %+v", f)
	}
}
