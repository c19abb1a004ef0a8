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

// Hosts is what a host knows of the other hosts: who is listed, and which of them
// failed to answer lately. Use New.
type Hosts struct {
	self membership.Host
	// version rises with each change of the list, and of what failed.
	version atomic.Uint64

	mu sync.Mutex
	// entries are the entries that the list was last worked out from at appliedAt, and noted is true if one changed since.
	entries        knownEntries
	entriesChanged bool
	appliedAt      time.Time
	// table holds the hosts listed in the store, this one included.
	table serving.Table
	peers map[string]*peer
	// updateSources and others are what table says of them, as of their versions.
	updateSources           Versioned[serving.UpdateSources]
	others, forwardingOrder Versioned[[]membership.Host]
	// tableVersion counts the changes of table.
	tableVersion uint64
}

// New returns what the host self knows at its start.
func New(self membership.Host) *Hosts { return &Hosts{self: self, entries: knownEntries{}} }

// Self returns this host.
func (f *Hosts) Self() membership.Host { return f.self }

// Version returns a number that rises with each change of the list of hosts, and of which of them failed.
func (f *Hosts) Version() uint64 { return f.version.Load() }

// Versioned is a value that holds for a version of what it was worked out from. The zero value holds
// for none.
type Versioned[T any] struct {
	version uint64
	value   T
}

// Get returns the value for the version, which it works out anew if need be. Versions begin at one.
func (v *Versioned[T]) Get(version uint64, work func() T) T {
	if v.version != version {
		v.version, v.value = version, work()
	}
	return v.value
}

// peer is what is known of another host beyond its entry.
type peer struct {
	// processID names the processID that answered last, or is empty.
	processID string
	// suspect is true from a failure to the next answer. The host is only used when
	// no other one answers, and asked in the background.
	suspect bool
}

// setTable takes over the list of hosts and reports whether it changed. f.mu is held.
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

// Plan says who serves a group before members that take so many connections.
func (f *Hosts) Plan(group string, connections int) serving.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Plan(f.self, group, connections)
}

// TrackCandidates names the groups of which Candidate tells.
func (f *Hosts) TrackCandidates(groups []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.TrackCandidates(f.self, groups)
}

// IsCandidate reports whether this host is among those with the first claims to a group.
func (f *Hosts) IsCandidate(group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.IsCandidate(group)
}

// Forget drops what is kept for a group that nobody asks about any more.
func (f *Hosts) Forget(group string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Forget(group)
}

// UpdateSources says from whom this host learns the store's news.
func (f *Hosts) UpdateSources() serving.UpdateSources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.updateSources.Get(f.tableVersion, func() serving.UpdateSources { return f.table.UpdateSources(f.self) })
}

// ForwardingOrder returns all other hosts that stay, in the order in which this one turns to them.
func (f *Hosts) ForwardingOrder() []membership.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.forwardingOrder.Get(f.tableVersion, func() []membership.Host { return serving.ForwardingOrder(f.self, f.table.OtherHosts(f.self)) })
}

// Sample returns a few other hosts at random, of those that are not suspect.
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

// coprimeStep returns a random step that visits each of n places once.
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

// CoordinatorRank returns how many hosts that answer take a group's duty before this one.
func (f *Hosts) CoordinatorRank(group string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	place := 0
	for _, h := range f.table.RankedCoordinators(group) {
		if h.ID == f.self.ID {
			break
		}
		if p := f.peers[h.ID]; p == nil || !p.suspect {
			place++
		}
	}
	return place
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

// ProcessID returns the name of the host's process, or the empty string.
func (f *Hosts) ProcessID(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peer(id).processID
}

// RecordAnswer records an answer of a host's process. It returns false if the host had
// been answering before.
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

// RecordFailure records that a host did not answer. It returns true if it had answered before.
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

// SuspectAddress reports whether a host that is still listed has failed to answer, and its
// address.
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

// Usable returns those of the hosts that are not suspect, in the same order.
func (f *Hosts) Usable(hosts []membership.Host) []membership.Host {
	return f.FirstUsable(hosts, len(hosts))
}

// FirstUsable returns the first k of them. It looks no further, since each statement that is passed
// on asks for a few hosts of a long list.
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

// ListedIDs returns the hosts that are listed.
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

// Address returns the address of a listed host for other hosts.
func (f *Hosts) Address(id string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.table.Host(id)
	return h.Peer, ok
}
