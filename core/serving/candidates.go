package serving

import (
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
	score  uint64
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
		c.score = scoreOf(c.prefix, self.ID)
		if z := t.zones[self.Zone]; z != nil {
			for _, h := range z.staying {
				c.count(h.ID, self.ID, 1)
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
		each.count(h.ID, c.self.ID, by)
	}
}

// count adds by if the host of an ID comes before the one with this claim.
func (c *candidacy) count(id, self string, by int) {
	score := scoreOf(c.prefix, id)
	if score > c.score || score == c.score && id < self {
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

// scoreOf is a host's claim to a group by rendezvous hashing.
func scoreOf(prefix xxhash.Digest, id string) uint64 {
	_, _ = prefix.WriteString(id)
	return prefix.Sum64()
}
