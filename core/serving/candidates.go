package serving

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/membership"
)

// candidates keeps, for each group, how many hosts of one availability zone come before one host of it. A change of
// the list costs a hash a group of the own zone's hosts alone, and none for hosts of other zones, so that a host can
// tell which few groups concern it without ranking all hosts for all groups. The zero value is ready for use.
type candidates struct {
	self   membership.Host
	groups map[string]*candidacy
}

// candidacy is a host's claim to a group.
type candidacy struct {
	prefix xxhash.Digest
	score  float64
	// before counts the staying hosts of the zone with a better claim.
	before int
}

// Consider makes the table keep the candidacies of a host for just these groups.
func (t *Table) Consider(self membership.Host, groups []string) {
	old := t.candidates
	t.candidates = candidates{self: self, groups: make(map[string]*candidacy, len(groups))}
	for _, name := range groups {
		if known := old.groups[name]; known != nil && old.self == self {
			t.candidates.groups[name] = known
			continue
		}
		c := &candidacy{prefix: groupPrefix(name)}
		c.score = scoreOf(c.prefix, self)
		if z := t.zones[self.Zone]; z != nil {
			for _, h := range z.staying {
				c.count(h.Host, self.ID, 1)
			}
		}
		t.candidates.groups[name] = c
	}
}

// Candidate reports whether the considered host is among those with the first claims to a group, so that it may serve
// it, or hold its duty, now or after the loss of others.
func (t *Table) Candidate(group string) bool {
	c := t.candidates.groups[group]
	return c != nil && c.before < keptPerZone
}

// moved takes over that a host joined the staying ones (by is 1), or left them (by is -1).
func (c *candidates) moved(h *listed, by int) {
	if h.Zone != c.self.Zone {
		return
	}
	for _, each := range c.groups {
		each.count(h.Host, c.self.ID, by)
	}
}

// count adds by if the host comes before the one with this claim.
func (c *candidacy) count(h membership.Host, self string, by int) {
	score := scoreOf(c.prefix, h)
	if score > c.score || score == c.score && h.ID < self {
		c.before += by
	}
}

// groupPrefix returns the hash of a group's name, to which hosts' names are added.
func groupPrefix(group string) xxhash.Digest {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	return d
}

// scoreOf is a host's claim to a group by rendezvous hashing with weights: hosts have the best claim to as many groups as
// their strengths say. Hosts of the same strength are in the order of their hashes.
//
// See Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005, the logarithmic method.
func scoreOf(prefix xxhash.Digest, h membership.Host) float64 {
	_, _ = prefix.WriteString(h.ID)
	const bits = 53 // of a float64 without loss
	u := (float64(prefix.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return math.Log(u) / strengthOf(h)
}

func strengthOf(h membership.Host) float64 {
	if h.Strength <= 0 {
		return 1
	}
	return h.Strength
}
