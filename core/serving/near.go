package serving

import "pearlatch/core/membership"

// Near returns how many connections each host may keep to a replica of its own availability
// zone, while k other hosts serve the group: it then answers reads there by itself, without
// a hop. It is zero where that would leave a host fewer than directShare.
//
// Where one of nine hosts served a group of three members for all, two of three reads crossed
// availability zones twice, and all waited for the loss of that host to be found out.
func Near(self membership.Host, hosts []membership.Host, connections int) int {
	n := 1 // the share of those that serve
	for _, h := range hosts {
		if h.Zone == self.Zone && !h.Leaving {
			n++
		}
	}
	if near := connections / n; near >= directShare {
		return near
	}
	return 0
}
