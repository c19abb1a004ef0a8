package serving

import (
	"pearlatch/core/membership"
)

// fanOut is how many hosts learn the store's news from one host at most. With two
// levels it reaches 272 hosts of an availability zone.
const fanOut = 16

// newsGroup is what hosts are ranked for when they pass news on.
const newsGroup = "news"

// Feeds says from whom a host learns the store's news.
type Feeds struct {
	// StoreFirst is true for hosts that ask the store itself and turn to other
	// hosts when it fails. The others turn to the store last.
	StoreFirst bool
	// Hosts pass news on, the preferred one first.
	Hosts []membership.Host
}

// FeedsOf returns the feeds of a host. The first host of each availability zone asks
// the store, and the others form a tree below it, so that the calls to the store don't
// grow with the fleet.
//
// After the parent come other hosts of the zone with a lower rank, then the first ones
// of other zones: a host whose zone is lost for it, or that the store turns away, still
// learns.
func FeedsOf(self membership.Host, hosts []membership.Host) Feeds {
	zone, others := splitZone(self, hosts)
	place := len(zone)
	for i, h := range zone {
		if h.ID == self.ID {
			place = i
		}
	}
	if place == 0 {
		return Feeds{StoreFirst: true, Hosts: others}
	}
	parent := (place - 1) / fanOut
	out := []membership.Host{zone[parent]}
	for i, h := range zone[:min(place, alternates)] {
		if i != parent {
			out = append(out, h)
		}
	}
	return Feeds{Hosts: append(out, others...)}
}

// alternates is how many hosts of the own zone are tried beside the parent.
const alternates = 2

// splitZone returns the ranked hosts of the own availability zone, and the first one
// of each other zone.
func splitZone(self membership.Host, hosts []membership.Host) (zone, others []membership.Host) {
	seen := map[string]bool{self.Zone: true}
	for _, h := range membership.Rank(newsGroup, hosts) {
		if h.Zone == self.Zone {
			zone = append(zone, h)
			continue
		}
		if !seen[h.Zone] {
			seen[h.Zone] = true
			others = append(others, h)
		}
	}
	return zone, others
}
