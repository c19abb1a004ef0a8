package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the hosts in the order in which they own the group: the first one
// is the owner. Leaving hosts come after all others. Rank uses rendezvous hashing:
// a host's weight depends only on the group and the host, so the loss of a host
// moves only the groups that it owned.
//
// The hosts after the first come from availability zones not used yet, as long as
// there are any. They act as witnesses and must not fail together with the owner.
// The successor of a lost host is the first one in the ranking without it.
//
// See Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
func Rank(group string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	weights := make(map[string]uint64, len(ranked))
	for _, h := range ranked {
		weights[h.ID] = pairHash(group, h.ID)
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

// compareLeaving orders a leaving host after one that is not leaving. a is either of
// them, compared with the other.
func compareLeaving(a Host) int {
	if a.Leaving {
		return 1
	}
	return -1
}

// pairHash returns the rendezvous pairHash of a host for a group.
func pairHash(group, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// spreadZones moves the first host of each availability zone to the front and
// otherwise keeps the order. Leaving hosts stay last.
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
