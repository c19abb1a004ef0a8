package serving

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/membership"
)

// keptPerZone is how many claims of each availability zone a Table keeps for a group: the three
// hosts that serve where there is one zone, and as many that serve in their place.
const keptPerZone = 2 * leastServers

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
	hosts map[string]*listed
	zones map[string]*zone
	// groups holds the claims to each group that was asked about.
	groups map[string]*claims
	// round counts the lists that were taken over.
	round uint64
	// candidates are the claims of one host.
	candidates candidates
}

// listed is a host of the list.
type listed struct {
	membership.Host
	// round is that of the last list that named the host.
	round uint64
}

// zone is an availability zone.
type zone struct {
	name string
	// staying are its hosts that don't leave, in no order, and all counts the others as well.
	staying []*listed
	all     int
}

// claims are the first claims to a group.
type claims struct {
	// prefix is the hash of the group's name, to which the hosts' names are added.
	prefix xxhash.Digest
	// zones holds the first claims of each availability zone, the first one first: all of a
	// zone with fewer hosts than keptPerZone.
	zones map[string][]claim
	// order is what Ranked returns, and holders what Holders does, or nil after a change.
	order, holders []membership.Host
}

// claim is a host's claim to a group. Higher scores come first.
type claim struct {
	host  *listed
	score float64
}

// Update takes over a new list of hosts. It reports whether it differs from the one before.
func (t *Table) Update(hosts []membership.Host) (changed bool) {
	if t.hosts == nil {
		t.hosts, t.zones = map[string]*listed{}, map[string]*zone{}
	}
	t.round++
	for _, h := range hosts {
		if !h.Peer.IsValid() {
			continue
		}
		known := t.hosts[h.ID]
		if known != nil && known.Host == h {
			known.round = t.round
			continue
		}
		changed = true
		if known != nil {
			t.remove(known)
		}
		t.add(&listed{h, t.round})
	}
	for _, h := range t.hosts {
		if h.round != t.round {
			changed = true
			t.remove(h)
		}
	}
	return changed
}

func (t *Table) add(h *listed) {
	t.hosts[h.ID] = h
	z := t.zones[h.Zone]
	if z == nil {
		z = &zone{name: h.Zone}
		t.zones[h.Zone] = z
	}
	z.all++
	if h.Leaving {
		return
	}
	z.staying = append(z.staying, h)
	t.candidates.moved(h, 1)
	for _, c := range t.groups {
		c.add(h)
	}
}

func (t *Table) remove(h *listed) {
	delete(t.hosts, h.ID)
	z := t.zones[h.Zone]
	if z.all--; z.all == 0 {
		delete(t.zones, h.Zone)
	}
	if h.Leaving {
		return
	}
	z.staying = slices.DeleteFunc(z.staying, func(o *listed) bool { return o == h })
	t.candidates.moved(h, -1)
	for _, c := range t.groups {
		c.remove(h, z)
	}
}

// Forget drops the claims to a group that nobody asks about any more.
func (t *Table) Forget(group string) { delete(t.groups, group) }

// Ranked returns the hosts with the first claims to serve a group, in the order in which they do:
// the n-th host of each availability zone comes before any zone's next one. Where hosts at the
// beginning are out of reach, the next ones serve. The slice stays as it is, and is not to be
// changed.
func (t *Table) Ranked(group string) []membership.Host {
	c := t.group(group)
	if c.order == nil {
		c.order = c.byTurns()
	}
	return c.order
}

// Holders returns the same hosts in the order in which they take the group's duty: the strongest first, and those alike
// in the order in which they serve. What a duty costs goes with the hosts that hold any, so that few hold many. The
// slice stays as it is, and is not to be changed.
func (t *Table) Holders(group string) []membership.Host {
	ranked := t.Ranked(group)
	c := t.group(group)
	if c.holders == nil {
		c.holders = slices.Clone(ranked)
		slices.SortStableFunc(c.holders, func(a, b membership.Host) int { return cmp.Compare(strengthOf(b), strengthOf(a)) })
	}
	return c.holders
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

// byTurns merges the claims of the availability zones: first the first ones of each, by their
// scores, then the second ones.
func (c *claims) byTurns() []membership.Host {
	out := make([]membership.Host, 0, len(c.zones)*keptPerZone)
	turn := make([]claim, 0, len(c.zones))
	for i := range keptPerZone {
		turn = turn[:0]
		for _, kept := range c.zones {
			if i < len(kept) {
				turn = append(turn, kept[i])
			}
		}
		slices.SortFunc(turn, compareClaims)
		for _, each := range turn {
			out = append(out, each.host.Host)
		}
	}
	return out
}

// group returns the claims to a group.
func (t *Table) group(name string) *claims {
	if c := t.groups[name]; c != nil {
		return c
	}
	c := &claims{prefix: groupPrefix(name), zones: map[string][]claim{}}
	for _, z := range t.zones {
		c.fill(z)
	}
	if t.groups == nil {
		t.groups = map[string]*claims{}
	}
	t.groups[name] = c
	return c
}

// fill takes the first claims of an availability zone anew.
func (c *claims) fill(z *zone) {
	kept := c.zones[z.name][:0]
	for _, h := range z.staying {
		kept = insert(kept, claim{h, c.score(h)})
	}
	c.zones[z.name] = kept
	c.order, c.holders = nil, nil
}

// add takes a host that joined into the claims of its availability zone, if it is one of the first.
func (c *claims) add(h *listed) {
	kept := c.zones[h.Zone]
	joined := claim{h, c.score(h)}
	if len(kept) == keptPerZone && compareClaims(joined, kept[len(kept)-1]) > 0 {
		return
	}
	c.zones[h.Zone] = insert(kept, joined)
	c.order, c.holders = nil, nil
}

// remove takes out a host that left its availability zone.
func (c *claims) remove(h *listed, z *zone) {
	kept := c.zones[h.Zone]
	i := slices.IndexFunc(kept, func(o claim) bool { return o.host == h })
	switch {
	case i < 0:
	case len(z.staying) >= keptPerZone:
		c.fill(z)
	case len(z.staying) == 0:
		delete(c.zones, h.Zone)
		c.order, c.holders = nil, nil
	default:
		c.zones[h.Zone] = slices.Delete(kept, i, i+1)
		c.order, c.holders = nil, nil
	}
}

// insert adds a claim to sorted ones, of which it keeps the first keptPerZone.
func insert(kept []claim, each claim) []claim {
	if len(kept) == keptPerZone {
		if compareClaims(each, kept[len(kept)-1]) > 0 {
			return kept
		}
		kept = kept[:len(kept)-1]
	}
	i, _ := slices.BinarySearchFunc(kept, each, compareClaims)
	return slices.Insert(kept, i, each)
}

// compareClaims orders claims, the first one first.
func compareClaims(a, b claim) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// score is the host's claim to the group.
func (c *claims) score(h *listed) float64 { return scoreOf(c.prefix, h.Host) }
