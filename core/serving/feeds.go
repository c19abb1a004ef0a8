package serving

import (
	"cmp"
	"slices"

	"pearlatch/core/membership"
)

// treeFanOut is how many hosts learn the store's news from one host at most. With two
// levels it reaches 272 hosts of an availability zone.
const treeFanOut = 16

// updateTreeGroup is what hosts are ranked for when they pass news on.
const updateTreeGroup = "news"

// UpdateSources says from whom a host learns the store's news.
type UpdateSources struct {
	// StoreFirst is true for hosts that ask the store itself and turn to other
	// hosts when it fails. The others turn to the store last.
	StoreFirst bool
	// Listed is true if the host has a place of its own in the tree: it is listed.
	Listed bool
	// Hosts pass news on, the preferred one first.
	Hosts []membership.Host
}

// UpdateSources returns the feeds of a host. The first host of each availability zone asks
// the store, and the others form a tree below it, so that the calls to the store don't
// grow with the fleet.
//
// After the parent come other hosts of the zone with a lower rank, then the first ones
// of other zones: a host whose zone is lost for it, or that the store turns away, still
// learns.
func (t *Table) UpdateSources(self membership.Host) UpdateSources {
	zone := t.treeOrder(self.Zone)
	place := slices.IndexFunc(zone, func(c scoredHost) bool { return c.host.ID == self.ID })
	placed := place >= 0
	if !placed {
		place = len(zone)
	}
	if place == 0 {
		return UpdateSources{StoreFirst: true, Listed: placed, Hosts: t.zoneRoots(self.Zone)}
	}
	parent := (place - 1) / treeFanOut
	out := []membership.Host{zone[parent].host.Host}
	for i, c := range zone[:min(place, alternateParents)] {
		if i != parent {
			out = append(out, c.host.Host)
		}
	}
	return UpdateSources{Listed: placed, Hosts: append(out, t.zoneRoots(self.Zone)...)}
}

// alternateParents is how many hosts of the own zone are tried beside the parent.
const alternateParents = 2

// treeOrder returns the hosts of an availability zone in the order in which they pass news on: the strongest first, since
// those near the root send the most, and hosts alike by their claims.
func (t *Table) treeOrder(name string) []scoredHost {
	z := t.zones[name]
	if z == nil {
		return nil
	}
	out := z.treeScores()
	slices.SortFunc(out, compareTreeOrder)
	return out
}

// treeScores returns the claims of a zone's hosts to pass news on, in no order.
func (z *zone) treeScores() []scoredHost {
	prefix := groupDigest(updateTreeGroup)
	out := make([]scoredHost, len(z.active))
	for i, h := range z.active {
		out[i] = scoredHost{h, rendezvousScore(prefix, h.Host)}
	}
	return out
}

// zoneRoots returns the host of each availability zone but one that passes news on first.
func (t *Table) zoneRoots(but string) []membership.Host {
	var firsts []scoredHost
	for name, z := range t.zones {
		if name != but && len(z.active) > 0 {
			firsts = append(firsts, slices.MinFunc(z.treeScores(), compareTreeOrder))
		}
	}
	slices.SortFunc(firsts, compareTreeOrder)
	out := make([]membership.Host, len(firsts))
	for i, c := range firsts {
		out[i] = c.host.Host
	}
	return out
}

// compareTreeOrder orders hosts as they pass news on, the first one first.
func compareTreeOrder(a, b scoredHost) int {
	if c := cmp.Compare(effectiveCores(b.host.Host), effectiveCores(a.host.Host)); c != 0 {
		return c
	}
	return compareScores(a, b)
}
