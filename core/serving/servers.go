package serving

import (
	"slices"

	"pearlatch/core/membership"
)

const (
	// minDirectConnections is the least share of a member's connections with which every
	// host serves for itself: one for a transaction that rests between statements
	// and one for all else.
	minDirectConnections = 2
	// minServerConnections is the least share of a host where a few serve for all. It lets a
	// handful of transactions rest while a member's two or three slots stay busy.
	minServerConnections = 8
	// minServers is how many hosts serve where one in each availability zone would be
	// fewer: the loss of one leaves two.
	minServers = 3
)

// ServerCount returns how many hosts serve a group, of hosts in the given number of
// availability zones before a member that takes so many connections.
//
// Where every host has directShare, all serve, and a statement needs no hop.
// Otherwise one host in each zone serves, so that others forward within their zone. Two
// or three of them in each zone served no more at 64 hosts in 5 zones before 94
// connections (worth of three days 0.903 and 0.900, against 0.909), since each opens connections
// of its own.
func ServerCount(connections, hosts, zones int) int {
	if allServe(connections, hosts) {
		return max(1, hosts)
	}
	k := min(max(zones, minServers), connections/minServerConnections)
	return min(max(1, k), hosts)
}

// allServe reports whether every host serves for itself.
func allServe(connections, hosts int) bool {
	return hosts <= 1 || connections/hosts >= minDirectConnections
}

// Plan says who serves a group, as one host sees it. The zero value says that all hosts serve.
type Plan struct {
	// ServerCount is how many hosts serve for all, or zero when every host serves for itself.
	ServerCount int
	// ServedByOthers is true when other hosts serve and this one does not.
	ServedByOthers bool
	// Ranked are hosts in the order in which they serve the group: the first Servers of them do,
	// and the next ones where those are out of reach. It is empty when every host serves.
	Ranked []membership.Host
	// LocalReadConnections is how many connections this host may keep to a replica of its own availability zone
	// while hosts of other zones serve, and ReservedReadConnections how many to a replica other hosts may keep so.
	LocalReadConnections, ReservedReadConnections int
}

// Plan returns who serves a group before members that take so many connections, as the host
// self sees it, which may not be listed yet.
func (t *Table) Plan(self membership.Host, group string, connections int) Plan {
	all, staying, zones := t.countHosts()
	if t.hosts[self.ID] == nil {
		all++
	}
	if staying == 0 || allServe(connections, all) {
		return Plan{}
	}
	ranked := t.Ranked(group)
	p := Plan{ServerCount: min(ServerCount(connections, staying, zones), len(ranked)), Ranked: ranked}
	servers := ranked[:p.ServerCount]
	p.ServedByOthers = !slices.ContainsFunc(servers, func(h membership.Host) bool { return h.ID == self.ID })
	if p.ServedByOthers {
		p.LocalReadConnections = t.localReadConnections(self.Zone, servers, connections)
	} else {
		p.ReservedReadConnections = t.reservedReadConnections(servers, connections)
	}
	return p
}

// countHosts returns how many hosts there are, how many of them stay, and in how many availability zones
// those are.
func (t *Table) countHosts() (all, staying, zones int) {
	for _, z := range t.zones {
		all += z.hostCount
		staying += len(z.active)
		if len(z.active) > 0 {
			zones++
		}
	}
	return all, staying, zones
}

// ForwardingOrder returns the servers in the order in which a host forwards to them: those of
// its own availability zone first, each group of equals in an order of its own, so
// that hosts spread over them.
func ForwardingOrder(self membership.Host, servers []membership.Host) []membership.Host {
	ranked := membership.Rank(self.ID, servers)
	out := make([]membership.Host, 0, len(ranked))
	for _, near := range []bool{true, false} {
		for _, h := range ranked {
			if (h.Zone == self.Zone) == near {
				out = append(out, h)
			}
		}
	}
	return out
}

// OtherHosts returns all hosts that stay but one, in no order.
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
