package serving

import (
	"fmt"
	"net/netip"
	"testing"

	"pearlatch/core/membership"
)

// testHosts returns hosts that are spread evenly over availability zones.
func testHosts(n, zones int) []membership.Host {
	out := make([]membership.Host, n)
	for i := range out {
		out[i] = membership.Host{ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Peer: testPeer}
	}
	return out
}

var testPeer = netip.MustParseAddrPort("10.0.0.1:7432")

// newTable returns a table with the hosts.
func newTable(hosts []membership.Host) *Table {
	t := &Table{}
	t.Update(hosts)
	return t
}

// serversOf returns the hosts that serve a group.
func serversOf(t *Table, group string, connections int) []membership.Host {
	p := t.Plan(membership.Host{}, group, connections)
	return p.Ranked[:p.ServerCount]
}

func TestServerCount(t *testing.T) {
	for _, c := range []struct {
		name                             string
		connections, hosts, zones, count int
	}{
		{"enough for all", 21, 8, 3, 8},
		{"too few for all: one in each zone", 32, 68, 3, 3},
		{"connections for more", 92, 64, 5, 5},
		{"a single zone", 92, 64, 1, 3},
		{"fewer than zones", 20, 600, 6, 2},
		{"one connection", 1, 5, 2, 1},
		{"one host", 21, 1, 1, 1},
		{"nobody is known", 21, 0, 0, 1},
	} {
		if got := ServerCount(c.connections, c.hosts, c.zones); got != c.count {
			t.Errorf("%s: %d hosts serve, want %d", c.name, got, c.count)
		}
	}
}

// Hosts of a zone without a server would forward every statement to another zone.
func TestOneServerPerZone(t *testing.T) {
	table := newTable(testHosts(60, 5))
	for i := range 50 {
		zones := map[string]int{}
		for _, h := range serversOf(table, fmt.Sprint("group-", i), 92) {
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

// A host that leaves must not move other servers: each move costs a set of
// connections to three members.
func TestLeavingHostKeepsOtherServers(t *testing.T) {
	hosts := testHosts(60, 3)
	table := newTable(hosts)
	for i := range 50 {
		group := fmt.Sprint("group-", i)
		table.Update(hosts)
		before := serversOf(table, group, 32)
		left := make([]membership.Host, len(hosts))
		copy(left, hosts)
		for j := range left {
			left[j].Leaving = left[j].ID == before[0].ID
		}
		table.Update(left)
		after := serversOf(table, group, 32)
		kept := 0
		for _, h := range after {
			for _, o := range before[1:] {
				if h.ID == o.ID {
					kept++
				}
			}
			if h.Leaving {
				t.Errorf("%s: the leaving host serves", group)
			}
		}
		if kept != len(before)-1 || len(after) != len(before) {
			t.Errorf("%s: of %d other servers %d stayed", group, len(before)-1, kept)
		}
	}
}

func TestForwardingOrderPrefersOwnZone(t *testing.T) {
	servers := serversOf(newTable(testHosts(60, 3)), "g", 60)
	firsts := map[string]int{}
	for _, self := range testHosts(60, 3) {
		ordered := ForwardingOrder(self, servers)
		if ordered[0].Zone != self.Zone {
			t.Fatalf("%s of %s forwards to %s", self.ID, self.Zone, ordered[0].Zone)
		}
		firsts[ordered[0].ID]++
	}
	if len(firsts) != len(servers) {
		t.Errorf("hosts forward to %d of %d servers", len(firsts), len(servers))
	}
}

// News must reach every host: whoever follows another one must come to a host that
// asks the store.
func TestUpdateSourcesLeadToStore(t *testing.T) {
	hosts := testHosts(200, 3)
	table := newTable(hosts)
	byID := map[string]membership.Host{}
	followers := map[string]int{}
	for _, h := range hosts {
		byID[h.ID] = h
	}
	asking := 0
	for _, h := range hosts {
		steps := 0
		for at := h; ; steps++ {
			feeds := table.UpdateSources(at)
			if feeds.StoreFirst {
				break
			}
			if steps == 0 {
				followers[feeds.Hosts[0].ID]++
			}
			at = byID[feeds.Hosts[0].ID]
			if steps > 5 {
				t.Fatalf("%s does not come to the store", h.ID)
			}
		}
		if steps == 0 {
			asking++
		}
	}
	if asking != 3 {
		t.Errorf("%d hosts ask the store, want one a zone", asking)
	}
	for id, n := range followers {
		if n > treeFanOut {
			t.Errorf("%s feeds %d hosts", id, n)
		}
	}
}

// A host that restarts knows nobody but itself, and must not wait for others.
func TestLoneHostReadsStore(t *testing.T) {
	self := membership.Host{ID: "one", Zone: "z", Peer: testPeer}
	if f := newTable([]membership.Host{self}).UpdateSources(self); !f.StoreFirst || len(f.Hosts) != 0 {
		t.Errorf("a host alone learns from %+v", f)
	}
	if f := (&Table{}).UpdateSources(self); !f.StoreFirst {
		t.Errorf("a host that is not listed learns from %+v", f)
	}
}
