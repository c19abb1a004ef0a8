package serving

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/membership"
)

// candidateRanks keeps the rank of one host, self, among the hosts of its availability zone for each tracked group. It
// tells which few groups may concern the host without ranking all hosts for all groups: adding or removing a host of the
// same zone costs one hash per group, and a host of another zone costs none. The zero value is ready for use.
type candidateRanks struct {
	self   membership.Host
	groups map[string]*selfRank
}

// selfRank is the rank of a host for one group within its availability zone.
type selfRank struct {
	digest xxhash.Digest
	score  float64
	// ahead counts the active hosts of the zone that rank before this one.
	ahead int
}

// TrackCandidates sets the host and the groups for which IsCandidate answers. It replaces the previous ones; ranks of
// groups that are still tracked are reused.
func (t *Table) TrackCandidates(self membership.Host, groups []string) {
	old := t.selfRanks
	t.selfRanks = candidateRanks{self: self, groups: make(map[string]*selfRank, len(groups))}
	for _, name := range groups {
		if known := old.groups[name]; known != nil && old.self == self {
			t.selfRanks.groups[name] = known
			continue
		}
		rank := &selfRank{digest: groupDigest(name)}
		rank.score = rendezvousScore(rank.digest, self)
		if z := t.zones[self.Zone]; z != nil {
			for _, h := range z.active {
				rank.adjust(h.Host, self.ID, 1)
			}
		}
		t.selfRanks.groups[name] = rank
	}
}

// IsCandidate reports whether the host set by TrackCandidates is among the first hosts of its availability zone for the
// group, so that it may serve the group or hold its role, now or after the loss of other hosts. It returns false for a
// group that is not tracked.
func (t *Table) IsCandidate(group string) bool {
	rank := t.selfRanks.groups[group]
	return rank != nil && rank.ahead < rankedPerZone
}

// update adds an active host of any zone to the ranks (delta is 1) or removes it from them (delta is -1).
func (c *candidateRanks) update(h *listedHost, delta int) {
	if h.Zone != c.self.Zone {
		return
	}
	for _, rank := range c.groups {
		rank.adjust(h.Host, c.self.ID, delta)
	}
}

// adjust adds delta to the count of hosts ahead if h ranks before the host with the ID self.
func (r *selfRank) adjust(h membership.Host, self string, delta int) {
	score := rendezvousScore(r.digest, h)
	if score > r.score || score == r.score && h.ID < self {
		r.ahead += delta
	}
}

// groupDigest returns the hash state after a group's name. rendezvousScore appends a host's ID to it.
func groupDigest(group string) xxhash.Digest {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	return d
}

// rendezvousScore returns a host's score for a group in weighted rendezvous hashing. Higher scores rank first. The number
// of groups for which a host ranks first is proportional to its CPU cores. Hosts with equal cores are ordered by hash.
//
// See Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005, the logarithmic method.
func rendezvousScore(digest xxhash.Digest, h membership.Host) float64 {
	_, _ = digest.WriteString(h.ID)
	const bits = 53 // the bits of an integer that a float64 holds exactly
	u := (float64(digest.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return math.Log(u) / effectiveCores(h)
}

// effectiveCores returns the number of cores of a host, or 1 if it is not known.
func effectiveCores(h membership.Host) float64 {
	if h.Cores <= 0 {
		return 1
	}
	return h.Cores
}
