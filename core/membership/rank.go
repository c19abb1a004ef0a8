package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the hosts by their claim to own the group, first claim first.
// Leaving hosts come after all others. It is rendezvous hashing: each host's
// weight depends on the group and the host alone, so the loss of a host moves
// only the groups that it owned.
//
// Hosts after the first are taken from availability zones not yet used while
// there are any: they are asked as witnesses, and must not share the first one's
// fate. The successor of a lost host is the first of the ranking without it.
//
// See Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
func Rank(group string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	weights := make(map[string]uint64, len(ranked))
	for _, h := range ranked {
		weights[h.ID] = weight(group, h.ID)
	}
	slices.SortFunc(ranked, func(a, b Host) int {
		if a.Leaving != b.Leaving {
			return compareLeaving(a)
		}
		if c := cmp.Compare(weights[b.ID], weights[a.ID]); c != 0 {
			return c
		}
		return compareHosts(a, b)
	})
	return spreadZones(ranked)
}

func compareLeaving(a Host) int {
	if a.Leaving {
		return 1
	}
	return -1
}

func weight(group, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// spreadZones moves the first host of each availability zone forward, keeping
// the order otherwise. Leaving hosts stay last.
func spreadZones(ranked []Host) []Host {
	seen := map[string]bool{}
	first := make([]Host, 0, len(ranked))
	var rest []Host
	for _, h := range ranked {
		if h.Leaving || seen[h.Zone] {
			rest = append(rest, h)
			continue
		}
		seen[h.Zone] = true
		first = append(first, h)
	}
	return append(first, rest...)
}
