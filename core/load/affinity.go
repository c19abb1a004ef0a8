package load

import "github.com/cespare/xxhash/v2"

// Server is a host that serves a group.
type Server struct {
	// ID is the host's ID.
	ID string
}

// typicalServers is the number of servers up to which AppendAffinity does not allocate. A group has
// one server for each availability zone, and at least three.
const typicalServers = 8

// AppendAffinity appends to dst the indices of the servers in the order in which they serve an
// account of a group: the home server first, then the ones that replace it. The order of two
// servers depends only on the group, the account and their IDs. All entry hosts therefore agree on
// it, whatever their zone, and a server that joins or leaves moves only the accounts that it gains
// or loses.
//
// See Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998.
func AppendAffinity(dst []int, group, account string, servers []Server) []int {
	var prefix xxhash.Digest
	prefix.Reset()
	_, _ = prefix.WriteString(group)
	_, _ = prefix.Write(separator[:])
	_, _ = prefix.WriteString(account)
	_, _ = prefix.Write(separator[:])
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
			if scores[a] > scores[b] || scores[a] == scores[b] && servers[a].ID <= servers[b].ID {
				break
			}
			dst[j-1], dst[j] = b, a
		}
	}
	return dst
}

// separator keeps the concatenations of different names apart.
var separator = [1]byte{0}
