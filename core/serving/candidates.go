package serving

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/membership"
)

// candidateRanks keeps, for each group, how many hosts of one availability zone come before one host of it. A change of
// the list costs a hash a group of the own zone's hosts alone, and none for hosts of other zones, so that a host can
// tell which few groups concern it without ranking all hosts for all groups. The zero value is ready for use.
type candidateRanks struct {
	self   membership.Host
	groups map[string]*selfRank
}

// selfRank is a host's claim to a group.
type selfRank struct {
	digest xxhash.Digest
	score  float64
	// ahead counts the staying hosts of the zone with a better claim.
	ahead int
}

// TrackCandidates makes the table keep the candidacies of a host for just these groups.
func (t *Table) TrackCandidates(self membership.Host, groups []string) {
	old := t.selfRanks
	t.selfRanks = candidateRanks{self: self, groups: make(map[string]*selfRank, len(groups))}
	for _, name := range groups {
		if known := old.groups[name]; known != nil && old.self == self {
			t.selfRanks.groups[name] = known
			continue
		}
		c := &selfRank{digest: groupDigest(name)}
		c.score = rendezvousScore(c.digest, self)
		if z := t.zones[self.Zone]; z != nil {
			for _, h := range z.active {
				c.adjust(h.Host, self.ID, 1)
			}
		}
		t.selfRanks.groups[name] = c
	}
}

// IsCandidate reports whether the considered host is among those with the first claims to a group, so that it may serve
// it, or hold its duty, now or after the loss of others.
func (t *Table) IsCandidate(group string) bool {
	c := t.selfRanks.groups[group]
	return c != nil && c.ahead < rankedPerZone
}

// update takes over that a host joined the staying ones (by is 1), or left them (by is -1).
func (c *candidateRanks) update(h *listedHost, by int) {
	if h.Zone != c.self.Zone {
		return
	}
	for _, each := range c.groups {
		each.adjust(h.Host, c.self.ID, by)
	}
}

// adjust adds by if the host comes before the one with this claim.
func (c *selfRank) adjust(h membership.Host, self string, by int) {
	score := rendezvousScore(c.digest, h)
	if score > c.score || score == c.score && h.ID < self {
		c.ahead += by
	}
}

// groupDigest returns the hash of a group's name, to which hosts' names are added.
func groupDigest(group string) xxhash.Digest {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	return d
}

// rendezvousScore is a host's claim to a group by rendezvous hashing with weights: hosts have the best claim to as many groups as
// their strengths say. Hosts of the same strength are in the order of their hashes.
//
// See Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005, the logarithmic method.
func rendezvousScore(prefix xxhash.Digest, h membership.Host) float64 {
	_, _ = prefix.WriteString(h.ID)
	const bits = 53 // of a float64 without loss
	u := (float64(prefix.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return math.Log(u) / effectiveCores(h)
}

func effectiveCores(h membership.Host) float64 {
	if h.Cores <= 0 {
		return 1
	}
	return h.Cores
}
