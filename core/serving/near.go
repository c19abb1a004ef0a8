package serving

import (
	"slices"

	"pearlatch/core/membership"
)

// localReadConnections returns how many connections each host of an availability zone may keep to a replica there,
// while hosts of other zones serve the group: it then answers reads there by itself, without
// a hop. It is directShare, or zero where there are too few. More would be used seldom, and stay
// behind at the members for seconds when all hosts lose power: then nobody gets a new one.
//
// Where one of nine hosts served a group of three members for all, two of three reads crossed
// availability zones twice, and all waited for the loss of that host to be found out. A host that
// serves in the own zone spares them that as well, and needs the connections: at 195 hosts, 72 of
// a replica's 88 connections were set apart for 36 hosts that seldom used them.
func (t *Table) localReadConnections(zone string, servers []membership.Host, connections int) int {
	z := t.zones[zone]
	switch {
	case slices.ContainsFunc(servers, func(h membership.Host) bool { return h.Zone == zone }):
		return 0
	case z == nil:
		return localReadShare(0, connections)
	}
	return localReadShare(len(z.active), connections)
}

// localReadShare is near for an availability zone without a host that serves, in which so many hosts stay.
func localReadShare(staying, connections int) int {
	const servers = 1 // the share of those that serve
	if connections/(servers+staying) < minDirectConnections {
		return 0
	}
	return minDirectConnections
}

// reservedReadConnections returns how many connections to a replica the hosts of one availability zone may keep
// for reads near by, at most. Those that serve the group leave them free.
func (t *Table) reservedReadConnections(servers []membership.Host, connections int) int {
	most := 0
	for name, z := range t.zones {
		most = max(most, z.hostCount*t.localReadConnections(name, servers, connections))
	}
	return most
}
