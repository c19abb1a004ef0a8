package serving

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/membership"
)

// rankedPerZone is how many claims of each availability zone a Table keeps for a group: the three
// hosts that serve where there is one zone, and as many that serve in their place.
const rankedPerZone = 2 * minServers

// Table keeps, for each group that it was asked about, the hosts with the first claims to serve
// it. Claims come from rendezvous hashing, so a host that joins or leaves moves its own claims
// and no others: a change costs a hash a group, whatever the size of the fleet, and a group is
// looked through anew only when one of its own hosts goes.
//
// A host that leaves has no claims: it declines what is new.
//
// The zero value is an empty fleet and ready for use. A Table is not safe for concurrent use.
type Table struct {
	// hosts are those with an address for other hosts, by ID, and zones the same by
	// availability zone.
	hosts map[string]*listedHost
	zones map[string]*zone
	// rankings holds the claims to each group that was asked about.
	rankings map[string]*groupRanking
	// generation counts the lists that were taken over.
	generation uint64
	// selfRanks are the claims of one host.
	selfRanks candidateRanks
}

// listedHost is a host of the list.
type listedHost struct {
	membership.Host
	// generation is that of the last list that named the host.
	generation uint64
}

// zone is an availability zone.
type zone struct {
	name string
	// active are its hosts that don't leave, in no order, and all counts the others as well.
	active    []*listedHost
	hostCount int
}

// groupRanking are the first groupRanking to a group.
type groupRanking struct {
	// digest is the hash of the group's name, to which the hosts' names are added.
	digest xxhash.Digest
	// zones holds the first claims of each availability zone, the first one first: all of a
	// zone with fewer hosts than keptPerZone.
	zones map[string][]scoredHost
	// ranked is what Ranked returns, and dutyRanked what Holders does, or nil after a change.
	ranked, dutyRanked []membership.Host
}

// scoredHost is a host's scoredHost to a group. Higher scores come first.
type scoredHost struct {
	host  *listedHost
	score float64
}

// Update takes over a new list of hosts. It reports whether it differs from the one before.
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
	for _, c := range t.rankings {
		c.add(h)
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
	for _, c := range t.rankings {
		c.remove(h, z)
	}
}

// Forget drops the claims to a group that nobody asks about any more.
func (t *Table) Forget(group string) { delete(t.rankings, group) }

// Ranked returns the hosts with the first claims to serve a group, in the order in which they do:
// the n-th host of each availability zone comes before any zone's next one. Where hosts at the
// beginning are out of reach, the next ones serve. The slice stays as it is, and is not to be
// changed.
func (t *Table) Ranked(group string) []membership.Host {
	c := t.ranking(group)
	if c.ranked == nil {
		c.ranked = c.interleaveZones()
	}
	return c.ranked
}

// RankedForDuty returns the same hosts in the order in which they take the group's duty: the strongest first, and those alike
// in the order in which they serve. What a duty costs goes with the hosts that hold any, so that few hold many. The
// slice stays as it is, and is not to be changed.
func (t *Table) RankedForDuty(group string) []membership.Host {
	ranked := t.Ranked(group)
	c := t.ranking(group)
	if c.dutyRanked == nil {
		c.dutyRanked = slices.Clone(ranked)
		slices.SortStableFunc(c.dutyRanked, func(a, b membership.Host) int { return cmp.Compare(effectiveCores(b), effectiveCores(a)) })
	}
	return c.dutyRanked
}

// Len returns how many hosts are listed.
func (t *Table) Len() int { return len(t.hosts) }

// Host returns the host of an ID, and whether it is listed.
func (t *Table) Host(id string) (membership.Host, bool) {
	h := t.hosts[id]
	if h == nil {
		return membership.Host{}, false
	}
	return h.Host, true
}

// interleaveZones merges the claims of the availability zones: first the first ones of each, by their
// scores, then the second ones.
func (c *groupRanking) interleaveZones() []membership.Host {
	out := make([]membership.Host, 0, len(c.zones)*rankedPerZone)
	turn := make([]scoredHost, 0, len(c.zones))
	for i := range rankedPerZone {
		turn = turn[:0]
		for _, kept := range c.zones {
			if i < len(kept) {
				turn = append(turn, kept[i])
			}
		}
		slices.SortFunc(turn, compareScores)
		for _, each := range turn {
			out = append(out, each.host.Host)
		}
	}
	return out
}

// ranking returns the claims to a ranking.
func (t *Table) ranking(name string) *groupRanking {
	if c := t.rankings[name]; c != nil {
		return c
	}
	c := &groupRanking{digest: groupDigest(name), zones: map[string][]scoredHost{}}
	for _, z := range t.zones {
		c.rebuildZone(z)
	}
	if t.rankings == nil {
		t.rankings = map[string]*groupRanking{}
	}
	t.rankings[name] = c
	return c
}

// rebuildZone takes the first claims of an availability zone anew.
func (c *groupRanking) rebuildZone(z *zone) {
	kept := c.zones[z.name][:0]
	for _, h := range z.active {
		kept = insertScored(kept, scoredHost{h, c.score(h)})
	}
	c.zones[z.name] = kept
	c.ranked, c.dutyRanked = nil, nil
}

// add takes a host that joined into the claims of its availability zone, if it is one of the first.
func (c *groupRanking) add(h *listedHost) {
	kept := c.zones[h.Zone]
	joined := scoredHost{h, c.score(h)}
	if len(kept) == rankedPerZone && compareScores(joined, kept[len(kept)-1]) > 0 {
		return
	}
	c.zones[h.Zone] = insertScored(kept, joined)
	c.ranked, c.dutyRanked = nil, nil
}

// remove takes out a host that left its availability zone.
func (c *groupRanking) remove(h *listedHost, z *zone) {
	kept := c.zones[h.Zone]
	i := slices.IndexFunc(kept, func(o scoredHost) bool { return o.host == h })
	switch {
	case i < 0:
	case len(z.active) >= rankedPerZone:
		c.rebuildZone(z)
	case len(z.active) == 0:
		delete(c.zones, h.Zone)
		c.ranked, c.dutyRanked = nil, nil
	default:
		c.zones[h.Zone] = slices.Delete(kept, i, i+1)
		c.ranked, c.dutyRanked = nil, nil
	}
}

// insertScored adds a claim to sorted ones, of which it keeps the first keptPerZone.
func insertScored(kept []scoredHost, each scoredHost) []scoredHost {
	if len(kept) == rankedPerZone {
		if compareScores(each, kept[len(kept)-1]) > 0 {
			return kept
		}
		kept = kept[:len(kept)-1]
	}
	i, _ := slices.BinarySearchFunc(kept, each, compareScores)
	return slices.Insert(kept, i, each)
}

// compareScores orders claims, the first one first.
func compareScores(a, b scoredHost) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// score is the host's claim to the group.
func (c *groupRanking) score(h *listedHost) float64 { return rendezvousScore(c.digest, h.Host) }
