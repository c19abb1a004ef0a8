package serving

import (
	"slices"

	"pearlatch/core/membership"
)

// localReadConnections returns how many connections each host of an availability zone may keep to
// a replica in that zone while only hosts of other zones serve the group. The host then answers
// reads itself, without forwarding. The result is minDirectConnections, or zero if the replica
// accepts too few connections. Further connections would seldom be used. They would also stay open
// at the members for seconds after all hosts lose power, and until
// then no host could open a new one.
//
// With one of nine hosts serving a group of three members, two of three reads crossed availability
// zones twice, and every read waited until the loss of that host was detected. A serving host in the
// same zone avoids both and needs the connections itself: with 195 hosts, 72 of a replica's 88
// connections were reserved for 36 hosts that seldom used them.
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

// localReadShare returns the connections that each of the active hosts of an availability zone
// without a serving host may keep.
func localReadShare(active, connections int) int {
	const servers = 1 // the hosts that serve the group get one share
	if connections/(servers+active) < minDirectConnections {
		return 0
	}
	return minDirectConnections
}

// reservedReadConnections returns the largest number of connections that the hosts of any one
// availability zone may keep to a replica for local reads. The serving hosts leave them free.
func (t *Table) reservedReadConnections(servers []membership.Host, connections int) int {
	most := 0
	for name, z := range t.zones {
		most = max(most, z.hostCount*t.localReadConnections(name, servers, connections))
	}
	return most
}
