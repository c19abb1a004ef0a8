package serving

import (
	"slices"

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

// Feeds returns the feeds of a host. The first host of each availability zone asks
// the store, and the others form a tree below it, so that the calls to the store don't
// grow with the fleet.
//
// After the parent come other hosts of the zone with a lower rank, then the first ones
// of other zones: a host whose zone is lost for it, or that the store turns away, still
// learns.
func (t *Table) Feeds(self membership.Host) Feeds {
	zone := t.rankZone(newsGroup, self.Zone)
	place := slices.IndexFunc(zone, func(c claim) bool { return c.host.ID == self.ID })
	if place < 0 {
		place = len(zone)
	}
	if place == 0 {
		return Feeds{StoreFirst: true, Hosts: t.firsts(newsGroup, self.Zone)}
	}
	parent := (place - 1) / fanOut
	out := []membership.Host{zone[parent].host.Host}
	for i, c := range zone[:min(place, alternates)] {
		if i != parent {
			out = append(out, c.host.Host)
		}
	}
	return Feeds{Hosts: append(out, t.firsts(newsGroup, self.Zone)...)}
}

// alternates is how many hosts of the own zone are tried beside the parent.
const alternates = 2

// rankZone returns the claims of all hosts of an availability zone, the first one first.
func (t *Table) rankZone(group, name string) []claim {
	z := t.zones[name]
	if z == nil {
		return nil
	}
	c := t.group(group)
	out := make([]claim, len(z.staying))
	for i, h := range z.staying {
		out[i] = claim{h, c.score(h)}
	}
	slices.SortFunc(out, compareClaims)
	return out
}

// firsts returns the host with the first claim of each availability zone but one.
func (t *Table) firsts(group, but string) []membership.Host {
	seen := map[string]bool{but: true}
	var out []membership.Host
	for _, h := range t.Ranked(group) {
		if !seen[h.Zone] {
			seen[h.Zone] = true
			out = append(out, h)
		}
	}
	return out
}
