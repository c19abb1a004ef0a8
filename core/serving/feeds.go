package serving

import (
	"cmp"
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
	// Placed is true if the host has a place of its own in the tree: it is listed.
	Placed bool
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
	zone := t.rankZone(self.Zone)
	place := slices.IndexFunc(zone, func(c claim) bool { return c.host.ID == self.ID })
	placed := place >= 0
	if !placed {
		place = len(zone)
	}
	if place == 0 {
		return Feeds{StoreFirst: true, Placed: placed, Hosts: t.firsts(self.Zone)}
	}
	parent := (place - 1) / fanOut
	out := []membership.Host{zone[parent].host.Host}
	for i, c := range zone[:min(place, alternates)] {
		if i != parent {
			out = append(out, c.host.Host)
		}
	}
	return Feeds{Placed: placed, Hosts: append(out, t.firsts(self.Zone)...)}
}

// alternates is how many hosts of the own zone are tried beside the parent.
const alternates = 2

// rankZone returns the hosts of an availability zone in the order in which they pass news on: the strongest first, since
// those near the root send the most, and hosts alike by their claims.
func (t *Table) rankZone(name string) []claim {
	z := t.zones[name]
	if z == nil {
		return nil
	}
	out := z.feedClaims()
	slices.SortFunc(out, compareFeeds)
	return out
}

// feedClaims returns the claims of a zone's hosts to pass news on, in no order.
func (z *zone) feedClaims() []claim {
	prefix := groupPrefix(newsGroup)
	out := make([]claim, len(z.staying))
	for i, h := range z.staying {
		out[i] = claim{h, scoreOf(prefix, h.Host)}
	}
	return out
}

// firsts returns the host of each availability zone but one that passes news on first.
func (t *Table) firsts(but string) []membership.Host {
	var firsts []claim
	for name, z := range t.zones {
		if name != but && len(z.staying) > 0 {
			firsts = append(firsts, slices.MinFunc(z.feedClaims(), compareFeeds))
		}
	}
	slices.SortFunc(firsts, compareFeeds)
	out := make([]membership.Host, len(firsts))
	for i, c := range firsts {
		out[i] = c.host.Host
	}
	return out
}

// compareFeeds orders hosts as they pass news on, the first one first.
func compareFeeds(a, b claim) int {
	if c := cmp.Compare(strengthOf(b.host.Host), strengthOf(a.host.Host)); c != 0 {
		return c
	}
	return compareClaims(a, b)
}
