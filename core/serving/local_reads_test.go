package serving

import (
	"testing"
)

func TestLocalReadConnections(t *testing.T) {
	for _, c := range []struct {
		name            string
		zones, each     int
		connections     int
		local, reserved int
	}{
		{"nine hosts in three zones", 3, 3, 14, 2, 6},
		{"a host alone in its zone", 3, 1, 14, 2, 2},
		{"too many hosts for a share", 3, 25, 21, 0, 0},
		{"too few connections", 3, 3, 6, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			hosts := testHosts(c.zones*c.each, c.zones)
			table := newTable(hosts)
			if got := table.localReadConnections(hosts[0].Zone, nil, c.connections); got != c.local {
				t.Errorf("local read connections %d, want %d", got, c.local)
			}
			if got := table.reservedReadConnections(nil, c.connections); got != c.reserved {
				t.Errorf("reserved read connections %d, want %d", got, c.reserved)
			}
		})
	}
}

// With a serving host in each of five availability zones, the other hosts forward reads within their
// zone and keep no replica connections. If they did, a serving host would be left with one connection
// to a replica for the callers of forty hosts.
func TestNoLocalReadsWhereZoneHasServingHost(t *testing.T) {
	hosts := testHosts(180, 5)
	table := newTable(hosts)
	for _, h := range hosts {
		p := table.Plan(h, "g", 86)
		if p.LocalReadConnections != 0 || p.ReservedReadConnections != 0 {
			t.Fatalf("%s: %d local read connections, %d reserved", h.ID, p.LocalReadConnections, p.ReservedReadConnections)
		}
	}
}
