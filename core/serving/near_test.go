package serving

import (
	"testing"
)

func TestLocalReadConnections(t *testing.T) {
	for _, c := range []struct {
		name        string
		zones, each int
		connections int
		near, taken int
	}{
		{"nine hosts in three zones", 3, 3, 14, 2, 6},
		{"a host alone in its zone", 3, 1, 14, 2, 2},
		{"too many hosts for a share", 3, 25, 21, 0, 0},
		{"too few connections", 3, 3, 6, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			hosts := testHosts(c.zones*c.each, c.zones)
			table := newTable(hosts)
			if got := table.localReadConnections(hosts[0].Zone, nil, c.connections); got != c.near {
				t.Errorf("near %d, want %d", got, c.near)
			}
			if got := table.reservedReadConnections(nil, c.connections); got != c.taken {
				t.Errorf("taken %d, want %d", got, c.taken)
			}
		})
	}
}

// A host serves in each of five availability zones. All others pass reads on within their zone: if
// they kept connections of their own, those that serve would have one to a replica left for the
// callers of forty hosts.
func TestNoLocalReadsWhereZoneHasServer(t *testing.T) {
	hosts := testHosts(180, 5)
	table := newTable(hosts)
	for _, h := range hosts {
		p := table.Plan(h, "g", 86)
		if p.LocalReadConnections != 0 || p.ReservedReadConnections != 0 {
			t.Fatalf("%s: %d connections near by, %d taken", h.ID, p.LocalReadConnections, p.ReservedReadConnections)
		}
	}
}
