package serving

import (
	"cmp"
	"slices"

	"pearlatch/core/membership"
)

// treeFanOut is the maximum number of hosts that receive store updates directly from
// one host. Two levels below the root reach 272 hosts of an availability zone.
const treeFanOut = 16

// updateTreeGroup is the group name under which hosts are ranked for the update tree. All
// hosts must use the same name.
const updateTreeGroup = "news"

// UpdateSources lists the sources from which a host receives store updates.
type UpdateSources struct {
	// StoreFirst is true if the host reads from the store itself and uses other hosts
	// only when the store fails. Otherwise the store is the last source.
	StoreFirst bool
	// Listed is true if the host is on the list of hosts and so has its own position in
	// the tree.
	Listed bool
	// Hosts are the hosts that forward updates, in order of preference.
	Hosts []membership.Host
}

// UpdateSources returns the update sources of a host. The first host of each availability
// zone reads from the store, and the others form a tree below it, so that the number of
// calls to the store does not grow with the fleet.
//
// The parent is followed by the first hosts of the zone, nearest the root, then by the
// roots of other zones. So a host that can't reach its zone, or that the store rejects,
// still receives updates.
func (t *Table) UpdateSources(self membership.Host) UpdateSources {
	zone := t.treeOrder(self.Zone)
	position := slices.IndexFunc(zone, func(s scoredHost) bool { return s.host.ID == self.ID })
	listed := position >= 0
	if !listed {
		position = len(zone)
	}
	if position == 0 {
		return UpdateSources{StoreFirst: true, Listed: listed, Hosts: t.zoneRoots(self.Zone)}
	}
	parent := (position - 1) / treeFanOut
	out := []membership.Host{zone[parent].host.Host}
	for i, s := range zone[:min(position, alternateParents)] {
		if i != parent {
			out = append(out, s.host.Host)
		}
	}
	return UpdateSources{Listed: listed, Hosts: append(out, t.zoneRoots(self.Zone)...)}
}

// Order returns the sources in the order in which they are tried. samples are random hosts, which come after the listed
// ones. The store is the last source if readStore is true; a host without any other source reads it in any case.
func (u UpdateSources) Order(samples []membership.Host, readStore bool) []Source {
	var out []Source
	if u.StoreFirst {
		out = append(out, StoreSource{})
	}
	for _, h := range slices.Concat(u.Hosts, samples) {
		if s := (HostSource{h.Peer}); h.Peer.IsValid() && !slices.Contains(out, Source(s)) {
			out = append(out, s)
		}
	}
	if !u.StoreFirst && (readStore || len(out) == 0) {
		out = append(out, StoreSource{})
	}
	return out
}

// alternateParents is how many of the first hosts of the zone are tried after the parent.
const alternateParents = 2

// treeOrder returns the hosts of an availability zone in the order of their positions in the update tree. Hosts with more
// cores come first, since hosts near the root send the most; hosts with equal cores are ordered by score.
func (t *Table) treeOrder(zone string) []scoredHost {
	z := t.zones[zone]
	if z == nil {
		return nil
	}
	out := z.treeScores()
	slices.SortFunc(out, compareTreeOrder)
	return out
}

// treeScores returns the zone's active hosts with their scores for the update tree, in no order.
func (z *zone) treeScores() []scoredHost {
	digest := groupDigest(updateTreeGroup)
	out := make([]scoredHost, len(z.active))
	for i, h := range z.active {
		out[i] = scoredHost{h, rendezvousScore(digest, h.Host)}
	}
	return out
}

// zoneRoots returns the root of the update tree of each availability zone except one.
func (t *Table) zoneRoots(except string) []membership.Host {
	var roots []scoredHost
	for name, z := range t.zones {
		if name != except && len(z.active) > 0 {
			roots = append(roots, slices.MinFunc(z.treeScores(), compareTreeOrder))
		}
	}
	slices.SortFunc(roots, compareTreeOrder)
	out := make([]membership.Host, len(roots))
	for i, r := range roots {
		out[i] = r.host.Host
	}
	return out
}

// compareTreeOrder orders the hosts of an update tree from its root down.
func compareTreeOrder(a, b scoredHost) int {
	if c := cmp.Compare(effectiveCores(b.host.Host), effectiveCores(a.host.Host)); c != 0 {
		return c
	}
	return compareScores(a, b)
}
