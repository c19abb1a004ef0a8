package fleet

import "pearlatch/core/quota/reserve"

// ReserveHolders returns the hosts that hold reserves of the quotas of a group's accounts: the first that serve the group,
// in different availability zones where possible.
func (f *Hosts) ReserveHolders(group string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ranked := f.table.Ranked(group)
	out := make([]string, min(len(ranked), reserve.MaxHolders))
	for i := range out {
		out[i] = ranked[i].ID
	}
	return out
}
