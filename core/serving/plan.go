package serving

import (
	"slices"

	"pearlatch/core/membership"
)

const (
	// minDirectConnections is the least number of connections to a member per host with
	// which every host serves its own callers: one for a transaction that is idle between
	// statements and one for everything else.
	minDirectConnections = 2
	// minServingConnections is the least number of connections to a member per serving host
	// where a few hosts serve for all. It allows for several transactions that are idle
	// between statements while the member's two or three slots stay busy.
	minServingConnections = 8
	// minServingHosts is the least number of serving hosts, if the connections allow it, where
	// one in each availability zone would be fewer. The loss of one leaves two.
	minServingHosts = 3
)

// HostCount returns how many hosts serve a group. connections is the number of
// connections that one member accepts, and zones the number of availability zones of the
// hosts.
//
// If every host gets minDirectConnections, all serve, and no statement is forwarded.
// Otherwise one host in each zone serves, so that the others forward within their zone. With
// 64 hosts in 5 zones and 94 connections, two or three serving hosts in each zone served no
// more (worth over three days 0.903 and 0.900, against 0.909), since each of them opens its
// own connections.
func HostCount(connections, hosts, zones int) int {
	if allServe(connections, hosts) {
		return max(1, hosts)
	}
	servers := min(max(zones, minServingHosts), connections/minServingConnections)
	return min(max(1, servers), hosts)
}

// allServe reports whether every host serves its own callers.
func allServe(connections, hosts int) bool {
	return hosts <= 1 || connections/hosts >= minDirectConnections
}

// Plan says which hosts serve a group, as seen by one host. The zero value means that all hosts serve.
type Plan struct {
	// DedicatedServers is how many hosts serve for all, or zero if every host serves its own callers.
	DedicatedServers int
	// ServedByOthers is true if other hosts serve and this one does not.
	ServedByOthers bool
	// Ranked holds hosts in the order in which they serve the group: the first ServerCount of them
	// serve, and the next ones replace those that can't be reached. It is empty if every host
	// serves. It must not be changed.
	Ranked []membership.Host
	// LocalReadConnections is how many connections this host may keep to a replica in its own
	// availability zone while only hosts of other zones serve. ReservedReadConnections is how many
	// connections to a replica a serving host must leave to other hosts for this.
	LocalReadConnections, ReservedReadConnections int
}

// Plan returns which hosts serve a group, as seen by the host self, which may not be listed yet.
// connections is the number of connections that one member accepts.
func (t *Table) Plan(self membership.Host, group string, connections int) Plan {
	all, active, zones := t.countHosts()
	if t.hosts[self.ID] == nil {
		all++
	}
	if active == 0 || allServe(connections, all) {
		return Plan{}
	}
	ranked := t.Ranked(group)
	p := Plan{DedicatedServers: min(HostCount(connections, active, zones), len(ranked)), Ranked: ranked}
	servers := ranked[:p.DedicatedServers]
	p.ServedByOthers = !slices.ContainsFunc(servers, func(h membership.Host) bool { return h.ID == self.ID })
	if p.ServedByOthers {
		p.LocalReadConnections = t.localReadConnections(self.Zone, servers, connections)
	} else {
		p.ReservedReadConnections = t.reservedReadConnections(servers, connections)
	}
	return p
}

// countHosts returns the number of hosts, the number of active hosts, and the number of availability
// zones with active hosts.
func (t *Table) countHosts() (all, active, zones int) {
	for _, z := range t.zones {
		all += z.hostCount
		active += len(z.active)
		if len(z.active) > 0 {
			zones++
		}
	}
	return all, active, zones
}

// ForwardingOrder returns the servers in the order in which the host self forwards to them:
// those of its own availability zone first. Within its zone and within the others the order
// depends on the host's ID, which spreads the hosts over the servers.
func ForwardingOrder(self membership.Host, servers []membership.Host) []membership.Host {
	ranked := membership.Rank(self.ID, servers)
	out := make([]membership.Host, 0, len(ranked))
	for _, sameZone := range []bool{true, false} {
		for _, h := range ranked {
			if (h.Zone == self.Zone) == sameZone {
				out = append(out, h)
			}
		}
	}
	return out
}

// OtherHosts returns all active hosts except self, in no order.
func (t *Table) OtherHosts(self membership.Host) []membership.Host {
	var out []membership.Host
	for _, z := range t.zones {
		for _, h := range z.active {
			if h.ID != self.ID {
				out = append(out, h.Host)
			}
		}
	}
	return out
}
