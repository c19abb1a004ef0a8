package fleet

import "pearlatch/core/quota/reserve"

// ReserveCandidates returns the hosts that may hold reserves of the quotas of a group's accounts: the first that serve the
// group, in different availability zones where possible. One of them may be the granter, which holds none.
func (f *Hosts) ReserveCandidates(group string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ranked := f.table.Ranked(group)
	out := make([]string, min(len(ranked), reserve.MaxHolders+1))
	for i := range out {
		out[i] = ranked[i].ID
	}
	return out
}

// IsSuspect reports whether the host did not answer lately.
func (f *Hosts) IsSuspect(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[id]
	return p != nil && p.suspect
}
