package serving

import (
	"slices"

	"pearlatch/core/membership"
)

// localReadConnections returns how many connections each host of an availability zone may keep to
// a replica in that zone while only hosts of other zones serve the group. With them the host answers
// reads itself, without forwarding. The result is zero if a host of the zone serves the group or the
// replica accepts too few connections, and else minDirectConnections. More connections would seldom
// be used. After all hosts lose power, they would also stay open at the members for seconds, and
// during that time no host could open a new connection.
//
// Without local reads, with one of nine hosts serving a group of three members, two of three reads
// crossed availability zones twice, and after the loss of the serving host every read waited until
// the loss was detected. A serving host in the zone avoids both, and it needs the connections itself:
// with 195 hosts, 72 of a replica's 88 connections were reserved for 36 hosts that seldom used them.
func (t *Table) localReadConnections(zone string, servingHosts []membership.Host, connections int) int {
	z := t.zones[zone]
	switch {
	case slices.ContainsFunc(servingHosts, func(h membership.Host) bool { return h.Zone == zone }):
		return 0
	case z == nil:
		return localReadShare(0, connections)
	}
	return localReadShare(len(z.active), connections)
}

// localReadShare returns how many connections to a replica each active host of an availability zone
// without a serving host may keep. active is the number of these hosts.
func localReadShare(active, connections int) int {
	const servingShares = 1 // the serving hosts together get as much as one active host
	if connections/(servingShares+active) < minDirectConnections {
		return 0
	}
	return minDirectConnections
}

// reservedReadConnections returns the largest number of connections that the hosts of any one
// availability zone may keep to a replica for local reads. The serving hosts leave them free.
func (t *Table) reservedReadConnections(servingHosts []membership.Host, connections int) int {
	most := 0
	for name, z := range t.zones {
		most = max(most, z.hostCount*t.localReadConnections(name, servingHosts, connections))
	}
	return most
}
