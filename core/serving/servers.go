package serving

import (
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
	if hosts <= 1 || connections/hosts >= directShare {
		return max(1, hosts)
	}
	k := min(max(zones, leastServers), connections/pooledShare)
	return min(max(1, k), hosts)
}

// Servers returns the hosts that serve a group, the first claim first: as many as
// Count says, by turns from each availability zone. Leaving hosts serve only when
// there are too few others.
func Servers(group string, hosts []membership.Host, connections int) []membership.Host {
	rounds := Ranked(group, hosts)
	k := Count(connections, staying(hosts), zonesOf(hosts))
	return rounds[:min(k, len(rounds))]
}

// Ranked returns the hosts in the order in which they serve a group: where those before it are
// out of reach, the next one does.
func Ranked(group string, hosts []membership.Host) []membership.Host {
	return byTurns(membership.Rank(group, hosts))
}

// byTurns reorders ranked hosts so that each availability zone has its n-th host
// before any has its next one.
func byTurns(ranked []membership.Host) []membership.Host {
	out := make([]membership.Host, 0, len(ranked))
	taken := map[string]int{}
	rest := ranked
	for round := 1; len(rest) > 0; round++ {
		var later []membership.Host
		for _, h := range rest {
			if h.Leaving != rest[0].Leaving || taken[h.Zone] >= round {
				later = append(later, h)
				continue
			}
			taken[h.Zone] = round
			out = append(out, h)
		}
		rest = later
	}
	return out
}

// staying counts the hosts that are not leaving.
func staying(hosts []membership.Host) int {
	n := 0
	for _, h := range hosts {
		if !h.Leaving {
			n++
		}
	}
	return n
}

func zonesOf(hosts []membership.Host) int {
	zones := map[string]bool{}
	for _, h := range hosts {
		if !h.Leaving {
			zones[h.Zone] = true
		}
	}
	return len(zones)
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
