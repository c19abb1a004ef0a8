package serving

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/membership"
)

// rankedPerZone is how many hosts of each availability zone a Table ranks for a group: the three
// that serve if there is only one zone, and as many replacements.
const rankedPerZone = 2 * minServingHosts

// Table keeps, for each group that it was asked about, the highest-ranked hosts to serve it. Ranks
// come from rendezvous hashing, so a host that joins or leaves does not change the order of the
// others. Adding a host costs one hash per group, whatever the size of the fleet, and a zone is
// ranked again only when one of its ranked hosts is removed.
//
// A leaving host is not ranked, since it rejects new work.
//
// The zero value is an empty fleet and ready for use. A Table is not safe for concurrent use.
type Table struct {
	// hosts holds the hosts with a peer address by ID, and zones the same hosts by availability
	// zone.
	hosts map[string]*listedHost
	zones map[string]*zone
	// rankings holds the ranked hosts of each group that was asked about.
	rankings map[string]*groupRanking
	// generation counts the calls of Update.
	generation uint64
	// selfRanks holds the ranks of the host set by TrackCandidates.
	selfRanks candidateRanks
}

// listedHost is a host of the list given to Update.
type listedHost struct {
	membership.Host
	// generation is that of the last list with this host.
	generation uint64
}

// zone is an availability zone.
type zone struct {
	name string
	// active holds the hosts that are not leaving, in no order. hostCount includes leaving hosts.
	active    []*listedHost
	hostCount int
}

// groupRanking holds the highest-ranked hosts of a group.
type groupRanking struct {
	// digest is the hash state after the group's name.
	digest xxhash.Digest
	// zones holds the first rankedPerZone active hosts of each availability zone, or all of
	// them if there are fewer, in order of rank.
	zones map[string][]scoredHost
	// ranked and rankedCoordinators cache the results of Ranked and RankedCoordinators. They are nil after
	// a change.
	ranked, rankedCoordinators []membership.Host
}

// scoredHost is a host with its score for a group. Higher scores rank first.
type scoredHost struct {
	host  *listedHost
	score float64
}

// Update replaces the list of hosts and reports whether it differs from the previous one. Hosts without a valid peer
// address are ignored.
func (t *Table) Update(hosts []membership.Host) (changed bool) {
	if t.hosts == nil {
		t.hosts, t.zones = map[string]*listedHost{}, map[string]*zone{}
	}
	t.generation++
	for _, h := range hosts {
		if !h.Peer.IsValid() {
			continue
		}
		known := t.hosts[h.ID]
		if known != nil && known.Host == h {
			known.generation = t.generation
			continue
		}
		changed = true
		if known != nil {
			t.remove(known)
		}
		t.add(&listedHost{h, t.generation})
	}
	for _, h := range t.hosts {
		if h.generation != t.generation {
			changed = true
			t.remove(h)
		}
	}
	return changed
}

func (t *Table) add(h *listedHost) {
	t.hosts[h.ID] = h
	z := t.zones[h.Zone]
	if z == nil {
		z = &zone{name: h.Zone}
		t.zones[h.Zone] = z
	}
	z.hostCount++
	if h.Leaving {
		return
	}
	z.active = append(z.active, h)
	t.selfRanks.update(h, 1)
	for _, r := range t.rankings {
		r.add(h)
	}
}

func (t *Table) remove(h *listedHost) {
	delete(t.hosts, h.ID)
	z := t.zones[h.Zone]
	if z.hostCount--; z.hostCount == 0 {
		delete(t.zones, h.Zone)
	}
	if h.Leaving {
		return
	}
	z.active = slices.DeleteFunc(z.active, func(o *listedHost) bool { return o == h })
	t.selfRanks.update(h, -1)
	for _, r := range t.rankings {
		r.remove(h, z)
	}
}

// Forget drops the ranking of a group that is no longer needed.
func (t *Table) Forget(group string) { delete(t.rankings, group) }

// Ranked returns the highest-ranked hosts of a group in the order in which they serve it: the n-th
// host of each availability zone comes before the next host of any zone. If hosts at the beginning
// can't be reached, the following ones serve. Later calls do not modify the slice, and the caller
// must not change it.
func (t *Table) Ranked(group string) []membership.Host {
	r := t.ranking(group)
	if r.ranked == nil {
		r.ranked = r.interleaveZones()
	}
	return r.ranked
}

// RankedCoordinators returns the hosts of Ranked in the order in which they acquire the group's coordinator role: those
// with more cores first, and those with equal cores in the order of Ranked. The cost of roles grows with the number of
// hosts that hold any, so a few hosts hold many roles each. Later calls do not modify the slice, and the caller must not change it.
func (t *Table) RankedCoordinators(group string) []membership.Host {
	ranked := t.Ranked(group)
	r := t.ranking(group)
	if r.rankedCoordinators == nil {
		r.rankedCoordinators = slices.Clone(ranked)
		slices.SortStableFunc(r.rankedCoordinators, func(a, b membership.Host) int { return cmp.Compare(effectiveCores(b), effectiveCores(a)) })
	}
	return r.rankedCoordinators
}

// Len returns the number of listed hosts, leaving ones included.
func (t *Table) Len() int { return len(t.hosts) }

// Host returns the host with the given ID, and whether it is listed.
func (t *Table) Host(id string) (membership.Host, bool) {
	h := t.hosts[id]
	if h == nil {
		return membership.Host{}, false
	}
	return h.Host, true
}

// interleaveZones merges the ranked hosts of the availability zones: the first host of each zone,
// ordered by score, then the second host of each, and so on.
func (r *groupRanking) interleaveZones() []membership.Host {
	out := make([]membership.Host, 0, len(r.zones)*rankedPerZone)
	sameRank := make([]scoredHost, 0, len(r.zones))
	for i := range rankedPerZone {
		sameRank = sameRank[:0]
		for _, ranked := range r.zones {
			if i < len(ranked) {
				sameRank = append(sameRank, ranked[i])
			}
		}
		slices.SortFunc(sameRank, compareScores)
		for _, s := range sameRank {
			out = append(out, s.host.Host)
		}
	}
	return out
}

// ranking returns the ranking of a group. It creates the ranking on first use.
func (t *Table) ranking(group string) *groupRanking {
	if r := t.rankings[group]; r != nil {
		return r
	}
	r := &groupRanking{digest: groupDigest(group), zones: map[string][]scoredHost{}}
	for _, z := range t.zones {
		r.rebuildZone(z)
	}
	if t.rankings == nil {
		t.rankings = map[string]*groupRanking{}
	}
	t.rankings[group] = r
	return r
}

// rebuildZone ranks the active hosts of an availability zone again.
func (r *groupRanking) rebuildZone(z *zone) {
	ranked := r.zones[z.name][:0]
	for _, h := range z.active {
		ranked = insertScored(ranked, scoredHost{h, r.score(h)})
	}
	r.zones[z.name] = ranked
	r.ranked, r.rankedCoordinators = nil, nil
}

// add ranks a new host if it is among the first rankedPerZone of its availability zone.
func (r *groupRanking) add(h *listedHost) {
	ranked := r.zones[h.Zone]
	added := scoredHost{h, r.score(h)}
	if len(ranked) == rankedPerZone && compareScores(added, ranked[len(ranked)-1]) > 0 {
		return
	}
	r.zones[h.Zone] = insertScored(ranked, added)
	r.ranked, r.rankedCoordinators = nil, nil
}

// remove removes a host that is no longer among the active hosts of z.
func (r *groupRanking) remove(h *listedHost, z *zone) {
	ranked := r.zones[h.Zone]
	i := slices.IndexFunc(ranked, func(o scoredHost) bool { return o.host == h })
	switch {
	case i < 0:
	case len(z.active) >= rankedPerZone:
		r.rebuildZone(z)
	case len(z.active) == 0:
		delete(r.zones, h.Zone)
		r.ranked, r.rankedCoordinators = nil, nil
	default:
		r.zones[h.Zone] = slices.Delete(ranked, i, i+1)
		r.ranked, r.rankedCoordinators = nil, nil
	}
}

// insertScored inserts a host into a sorted slice and keeps the first rankedPerZone elements.
func insertScored(ranked []scoredHost, added scoredHost) []scoredHost {
	if len(ranked) == rankedPerZone {
		if compareScores(added, ranked[len(ranked)-1]) > 0 {
			return ranked
		}
		ranked = ranked[:len(ranked)-1]
	}
	i, _ := slices.BinarySearchFunc(ranked, added, compareScores)
	return slices.Insert(ranked, i, added)
}

// compareScores orders hosts by descending score, and equal scores by ID.
func compareScores(a, b scoredHost) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// score returns the host's score for the group.
func (r *groupRanking) score(h *listedHost) float64 { return rendezvousScore(r.digest, h.Host) }
