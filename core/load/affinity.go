package load

import "github.com/cespare/xxhash/v2"

// typicalServers is the number of servers up to which AppendAffinity does not allocate. A group has
// one server for each availability zone, and at least three.
const typicalServers = 8

// AppendAffinity appends to dst the indices of the servers in the order in which they serve an
// account of a group: the home server first, then the ones that replace it. Nearer servers come
// first, so that the statements stay in their zone while it has a server: one home server for the
// callers of all zones doubles the bytes between zones. The order of two servers at the same distance depends only on the
// group, the account and their IDs. All entry hosts of a zone therefore agree on it, and a server
// that joins or leaves moves only the accounts that it gains or loses.
//
// See Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998.
func AppendAffinity(dst []int, group, account string, servers []Server) []int {
	prefix := accountDigest(group, account)
	var stack [typicalServers]uint64
	scores := stack[:0]
	first := len(dst)
	for i, s := range servers {
		digest := prefix
		_, _ = digest.WriteString(s.ID)
		scores = append(scores, digest.Sum64())
		dst = append(dst, i)
		for j := len(dst) - 1; j > first; j-- {
			a, b := dst[j-1], dst[j]
			if servers[a].Way < servers[b].Way {
				break
			}
			if servers[a].Way == servers[b].Way && (scores[a] > scores[b] || scores[a] == scores[b] && servers[a].ID <= servers[b].ID) {
				break
			}
			dst[j-1], dst[j] = b, a
		}
	}
	return dst
}

// fraction returns a number in [0, 1) that depends only on the group and the account.
func fraction(group, account string) float64 {
	digest := accountDigest(group, account)
	const bits = 53 // the bits of an integer that a float64 holds exactly
	return float64(digest.Sum64()>>(64-bits)) / (1 << bits)
}

// accountDigest returns the hash state after the names of a group and an account.
func accountDigest(group, account string) xxhash.Digest {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write(separator[:])
	_, _ = d.WriteString(account)
	_, _ = d.Write(separator[:])
	return d
}

// separator keeps the concatenations of different names apart.
var separator = [1]byte{0}
