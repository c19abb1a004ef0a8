package serving

import (
	"slices"

	"pearlatch/core/membership"
)

const (
	// directShare is the least share of a member's connections with which every
	// host serves for itself: one for a transaction that rests between statements
	// and one for all else.
	directShare = 2
	// pooledShare is the least share of a host where a few serve for all. It lets a
	// handful of transactions rest while a member's two or three slots stay busy.
	pooledShare = 8
	// leastServers is how many hosts serve where one in each availability zone would be
	// fewer: the loss of one leaves two.
	leastServers = 3
)

// Count returns how many hosts serve a group, of hosts in the given number of
// availability zones before a member that takes so many connections.
//
// Where every host has directShare, all serve, and a statement needs no hop.
// Otherwise one host in each zone serves, so that others forward within their zone. Two
// or three of them in each zone served no more at 64 hosts in 5 zones before 94
// connections (worth of three days 0.903 and 0.900, against 0.909), since each opens connections
// of its own.
func Count(connections, hosts, zones int) int {
	if direct(connections, hosts) {
		return max(1, hosts)
	}
	k := min(max(zones, leastServers), connections/pooledShare)
	return min(max(1, k), hosts)
}

// direct reports whether every host serves for itself.
func direct(connections, hosts int) bool { return hosts <= 1 || connections/hosts >= directShare }

// Plan says who serves a group, as one host sees it. The zero value says that all hosts serve.
type Plan struct {
	// Servers is how many hosts serve for all, or zero when every host serves for itself.
	Servers int
	// Elsewhere is true when other hosts serve and this one does not.
	Elsewhere bool
	// Ranked are hosts in the order in which they serve the group: the first Servers of them do,
	// and the next ones where those are out of reach. It is empty when every host serves.
	Ranked []membership.Host
	// Near is how many connections this host may keep to a replica of its own availability zone
	// while hosts of other zones serve, and NearTaken how many to a replica other hosts may keep so.
	Near, NearTaken int
}

// Plan returns who serves a group before members that take so many connections, as the host
// self sees it, which may not be listed yet.
func (t *Table) Plan(self membership.Host, group string, connections int) Plan {
	all, staying, zones := t.count()
	if t.hosts[self.ID] == nil {
		all++
	}
	if staying == 0 || direct(connections, all) {
		return Plan{}
	}
	ranked := t.Ranked(group)
	p := Plan{Servers: min(Count(connections, staying, zones), len(ranked)), Ranked: ranked}
	servers := ranked[:p.Servers]
	p.Elsewhere = !slices.ContainsFunc(servers, func(h membership.Host) bool { return h.ID == self.ID })
	if p.Elsewhere {
		p.Near = t.near(self.Zone, servers, connections)
	} else {
		p.NearTaken = t.nearTaken(servers, connections)
	}
	return p
}

// count returns how many hosts there are, how many of them stay, and in how many availability zones
// those are.
func (t *Table) count() (all, staying, zones int) {
	for _, z := range t.zones {
		all += z.all
		staying += len(z.staying)
		if len(z.staying) > 0 {
			zones++
		}
	}
	return all, staying, zones
}

// Order returns the servers in the order in which a host forwards to them: those of
// its own availability zone first, each group of equals in an order of its own, so
// that hosts spread over them.
func Order(self membership.Host, servers []membership.Host) []membership.Host {
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

// Others returns all hosts that stay but one, in no order.
func (t *Table) Others(self membership.Host) []membership.Host {
	var out []membership.Host
	for _, z := range t.zones {
		for _, h := range z.staying {
			if h.ID != self.ID {
				out = append(out, h.Host)
			}
		}
	}
	return out
}
