package serving

import "pearlatch/core/membership"

// Near returns how many connections each host may keep to a replica of its own availability
// zone, while k other hosts serve the group: it then answers reads there by itself, without
// a hop. It is directShare, or zero where there are too few. More would be used seldom, and stay
// behind at the members for seconds when all hosts lose power: then nobody gets a new one.
//
// Where one of nine hosts served a group of three members for all, two of three reads crossed
// availability zones twice, and all waited for the loss of that host to be found out.
func Near(self membership.Host, hosts []membership.Host, connections int) int {
	staying := 0
	for _, h := range hosts {
		if h.Zone == self.Zone && !h.Leaving {
			staying++
		}
	}
	return nearShare(staying, connections)
}

// nearShare is Near for a host of an availability zone in which so many stay.
func nearShare(staying, connections int) int {
	const servers = 1 // the share of those that serve
	if connections/(servers+staying) < directShare {
		return 0
	}
	return directShare
}

// NearTaken returns how many connections to a replica the hosts of one availability zone may keep
// for reads near by, at most. Those that serve the group leave them free.
func NearTaken(hosts []membership.Host, connections int) int {
	inZone, staying, most := map[string]int{}, map[string]int{}, 0
	for _, h := range hosts {
		inZone[h.Zone]++
		if !h.Leaving {
			staying[h.Zone]++
		}
	}
	for zone, n := range inZone {
		most = max(most, n*nearShare(staying[zone], connections))
	}
	return most
}
