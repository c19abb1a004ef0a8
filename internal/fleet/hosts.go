package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearlatch/core/membership"
	"pearlatch/core/serving"
)

// Hosts is a host's view of the fleet: which hosts are listed, and which of them failed to answer recently. Use New
// to create one. Its methods may be called from several goroutines.
type Hosts struct {
	self membership.Host
	// version increases with each change of the list of hosts or of a host's suspect state.
	version atomic.Uint64

	mu sync.Mutex
	// entries are the hosts' last known entries. The list was last computed from them at appliedAt; entriesChanged is
	// true if one has changed since.
	entries        knownEntries
	entriesChanged bool
	appliedAt      time.Time
	// table contains the listed hosts, including this one.
	table serving.Table
	peers map[string]*peer
	// updateSources, others and forwardingOrder are computed from table, as of tableVersion.
	updateSources           Versioned[serving.UpdateSources]
	others, forwardingOrder Versioned[[]membership.Host]
	// tableVersion counts the changes of table.
	tableVersion uint64
}

// New returns the view of the host self, which lists no hosts yet.
func New(self membership.Host) *Hosts { return &Hosts{self: self, entries: knownEntries{}} }

// Self returns this host.
func (f *Hosts) Self() membership.Host { return f.self }

// Version returns a number that increases with each change of the list of hosts or of a host's suspect state.
func (f *Hosts) Version() uint64 { return f.version.Load() }

// Versioned is a value computed from data that has a version. The zero value is ready to use. It is not safe for
// concurrent use.
type Versioned[T any] struct {
	version uint64
	value   T
}

// Get returns the value for a version, and calls compute if the stored value is of another version. Versions start at
// one.
func (v *Versioned[T]) Get(version uint64, compute func() T) T {
	if v.version != version {
		v.version, v.value = version, compute()
	}
	return v.value
}

// peer is the state of another host that is not in its entry.
type peer struct {
	// processID identifies the process that answered last. It is empty before the first answer.
	processID string
	// suspect is true from a failure to the next answer. A suspect host is only used when no other host answers, and
	// is probed in the background.
	suspect bool
}

// setTable replaces the list of hosts and reports whether it changed. f.mu must be held.
func (f *Hosts) setTable(hosts []membership.Host) (changed bool) {
	changed = f.table.Update(hosts)
	if changed {
		f.tableVersion++
		f.version.Add(1)
	}
	return changed
}

// AnyListed reports whether any host is listed.
func (f *Hosts) AnyListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Len() > 0
}

// Size returns how many hosts are listed.
func (f *Hosts) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Len()
}

// Plan returns which hosts serve a group whose members accept the given number of connections.
func (f *Hosts) Plan(group string, connections int) serving.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Plan(f.self, group, connections)
}

// TrackCandidates sets the groups for which IsCandidate may be called.
func (f *Hosts) TrackCandidates(groups []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.TrackCandidates(f.self, groups)
}

// IsCandidate reports whether this host is one of the first in the ranking of a tracked group.
func (f *Hosts) IsCandidate(group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.IsCandidate(group)
}

// Forget drops the state of a group that is no longer used.
func (f *Hosts) Forget(group string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Forget(group)
}

// UpdateSources returns the sources from which this host receives store updates.
func (f *Hosts) UpdateSources() serving.UpdateSources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.updateSources.Get(f.tableVersion, func() serving.UpdateSources { return f.table.UpdateSources(f.self) })
}

// ForwardingOrder returns all other hosts that are not leaving, in the order in which this host forwards to them.
func (f *Hosts) ForwardingOrder() []membership.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.forwardingOrder.Get(f.tableVersion, func() []membership.Host { return serving.ForwardingOrder(f.self, f.table.OtherHosts(f.self)) })
}

// Sample returns up to n other hosts, drawn at random from those that are not suspect.
func (f *Hosts) Sample(n int) []membership.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.others.Get(f.tableVersion, func() []membership.Host { return f.table.OtherHosts(f.self) })
	var out []membership.Host
	first := rand.IntN(max(1, len(others)))
	step := coprimeStep(len(others))
	for i := 0; i < len(others) && len(out) < n; i++ {
		o := others[(first+i*step)%len(others)]
		if p := f.peers[o.ID]; p == nil || !p.suspect {
			out = append(out, o)
		}
	}
	return out
}

// coprimeStep returns a random step size that visits each of n positions once.
func coprimeStep(n int) int {
	for n > 2 {
		step := 1 + rand.IntN(n-1)
		a, b := n, step
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return step
		}
	}
	return 1
}

// CoordinatorRank returns how many hosts that are not suspect precede this one in the order in which hosts become the
// coordinator of a group.
func (f *Hosts) CoordinatorRank(group string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	for _, h := range f.table.RankedCoordinators(group) {
		if h.ID == f.self.ID {
			break
		}
		if p := f.peers[h.ID]; p == nil || !p.suspect {
			rank++
		}
	}
	return rank
}

func (f *Hosts) peer(id string) *peer {
	if f.peers == nil {
		f.peers = map[string]*peer{}
	}
	p := f.peers[id]
	if p == nil {
		p = &peer{}
		f.peers[id] = p
	}
	return p
}

// ProcessID returns the ID of the host's process that answered last, or the empty string.
func (f *Hosts) ProcessID(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peer(id).processID
}

// RecordAnswer records an answer from a host's process. It returns true if the host was suspect before.
func (f *Hosts) RecordAnswer(id, process string) (regained bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(id)
	regained = p.suspect
	p.processID, p.suspect = process, false
	if regained {
		f.version.Add(1)
	}
	return regained
}

// RecordFailure records that a host did not answer. It returns true if the host was not suspect before.
func (f *Hosts) RecordFailure(id string) (lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(id)
	lost = !p.suspect
	p.suspect = true
	if lost {
		f.version.Add(1)
	}
	return lost
}

// SuspectAddress returns the address of a listed host, and whether the host is suspect. It drops the state of a host
// that is no longer listed, and returns false for it.
func (f *Hosts) SuspectAddress(id string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.table.Host(id)
	if !ok {
		delete(f.peers, id)
		return netip.AddrPort{}, false
	}
	return h.Peer, f.peer(id).suspect
}

// Usable returns the hosts that are not suspect, in the same order.
func (f *Hosts) Usable(hosts []membership.Host) []membership.Host {
	return f.FirstUsable(hosts, len(hosts))
}

// FirstUsable returns the first k hosts that are not suspect. It stops at the k-th one, since each forwarded
// statement needs only a few hosts of a long list.
func (f *Hosts) FirstUsable(hosts []membership.Host, k int) []membership.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	k = min(k, len(hosts))
	out := make([]membership.Host, 0, k)
	for i := 0; i < len(hosts) && len(out) < k; i++ {
		if p := f.peers[hosts[i].ID]; p == nil || !p.suspect {
			out = append(out, hosts[i])
		}
	}
	return out
}

// ListedIDs returns the IDs of this host and of the other listed hosts. This host's ID comes first, the others are
// sorted.
func (f *Hosts) ListedIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []string{f.self.ID}
	for _, h := range f.table.OtherHosts(f.self) {
		out = append(out, h.ID)
	}
	slices.Sort(out[1:])
	return out
}

// SuspectCount returns how many hosts are suspect.
func (f *Hosts) SuspectCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.peers {
		if p.suspect {
			n++
		}
	}
	return n
}

// Address returns the address of a listed host for requests from other hosts, and whether the host is listed.
func (f *Hosts) Address(id string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.table.Host(id)
	return h.Peer, ok
}
