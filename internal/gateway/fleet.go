package gateway

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"pearlatch/core/membership"
	"pearlatch/core/serving"
)

// fleet is what a host knows of the other hosts: who is listed, and which of them
// failed to answer lately.
type fleet struct {
	// self is this host.
	self membership.Host
	// version rises with each change of the list, and of what failed.
	version atomic.Uint64

	mu sync.Mutex
	// table holds the hosts listed in the store, this one included.
	table serving.Table
	peers map[string]*peer
	// feeds and others are what table says of them, as of their versions.
	feeds           versioned[serving.Feeds]
	others, ordered versioned[[]membership.Host]
	// listed counts the changes of table.
	listed uint64
}

// versioned is a value that holds for a version of what it was worked out from. The zero value holds
// for none.
type versioned[T any] struct {
	version uint64
	value   T
}

// of returns the value for the version, which it works out anew if need be. Versions begin at one.
func (v *versioned[T]) of(version uint64, work func() T) T {
	if v.version != version {
		v.version, v.value = version, work()
	}
	return v.value
}

// peer is what is known of another host beyond its entry.
type peer struct {
	// process names the process that answered last, or is empty.
	process string
	// suspect is true from a failure to the next answer. The host is only used when
	// no other one answers, and asked in the background.
	suspect bool
}

// set takes over the list of hosts and reports whether it changed.
func (f *fleet) set(hosts []membership.Host) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = f.table.Update(hosts)
	if changed {
		f.listed++
		f.version.Add(1)
	}
	return changed
}

// known reports whether any host is listed.
func (f *fleet) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Len() > 0
}

// size returns how many hosts are listed.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Len()
}

// plan says who serves a group before members that take so many connections.
func (f *fleet) plan(group string, connections int) serving.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Plan(f.self, group, connections)
}

// consider names the groups of which candidate tells.
func (f *fleet) consider(groups []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Consider(f.self, groups)
}

// candidate reports whether this host is among those with the first claims to a group.
func (f *fleet) candidate(group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Candidate(group)
}

// forget drops what is kept for a group that nobody asks about any more.
func (f *fleet) forget(group string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Forget(group)
}

// feedsOf says from whom this host learns the store's news.
func (f *fleet) feedsOf() serving.Feeds {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feeds.of(f.listed, func() serving.Feeds { return f.table.Feeds(f.self) })
}

// allOthers returns all other hosts that stay, in the order in which this one turns to them.
func (f *fleet) allOthers() []membership.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ordered.of(f.listed, func() []membership.Host { return serving.Order(f.self, f.table.Others(f.self)) })
}

// some returns a few other hosts at random, of those that are not suspect.
func (f *fleet) some(n int) []membership.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.others.of(f.listed, func() []membership.Host { return f.table.Others(f.self) })
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

// place returns how many hosts that answer take a group's duty before this one.
func (f *fleet) place(group string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	place := 0
	for _, h := range f.table.Holders(group) {
		if h.ID == f.self.ID {
			break
		}
		if p := f.peers[h.ID]; p == nil || !p.suspect {
			place++
		}
	}
	return place
}

func (f *fleet) peer(id string) *peer {
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

// process returns the name of the host's process, or the empty string.
func (f *fleet) process(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peer(id).process
}

// answered records an answer of a host's process. It returns false if the host had
// been answering before.
func (f *fleet) answered(id, process string) (regained bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(id)
	regained = p.suspect
	p.process, p.suspect = process, false
	if regained {
		f.version.Add(1)
	}
	return regained
}

// failed records that a host did not answer. It returns true if it had answered before.
func (f *fleet) failed(id string) (lost bool) {
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

// suspect reports whether a host that is still listed has failed to answer, and its
// address.
func (f *fleet) suspect(id string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.table.Host(id)
	if !ok {
		delete(f.peers, id)
		return netip.AddrPort{}, false
	}
	return h.Peer, f.peer(id).suspect
}

// usable returns those of the hosts that are not suspect, in the same order.
func (f *fleet) usable(hosts []membership.Host) []membership.Host {
	return f.firstUsable(hosts, len(hosts))
}

// firstUsable returns the first k of them. It looks no further, since each statement that is passed
// on asks for a few hosts of a long list.
func (f *fleet) firstUsable(hosts []membership.Host, k int) []membership.Host {
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

// listedIDs returns the hosts that are listed.
func (f *fleet) listedIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []string{f.self.ID}
	for _, h := range f.table.Others(f.self) {
		out = append(out, h.ID)
	}
	slices.Sort(out[1:])
	return out
}

// suspects returns how many hosts are suspect.
func (f *fleet) suspects() int {
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

// address returns the address of a listed host for other hosts.
func (f *fleet) address(id string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.table.Host(id)
	return h.Peer, ok
}

// entryOf returns the value of a host's entry in the store: its availability zone, its address for other hosts, if it
// has one, and that it leaves or its strength.
func entryOf(h membership.Host) []byte {
	if !h.Peer.IsValid() {
		return []byte(h.Zone)
	}
	text := h.Zone + " " + h.Peer.String()
	switch {
	case h.Leaving:
		// Hosts of the version before read no further word. A host that leaves has no claims, whatever its strength.
		text += " " + leavingMark
	case h.Strength > 0:
		text += " " + strengthMark + strconv.FormatFloat(h.Strength, 'g', -1, 64)
	}
	return []byte(text)
}

// strengthMark precedes a host's strength in its entry.
const strengthMark = "cores="

// mostCores is the largest strength that is believed.
const mostCores = 1 << 12

// leavingMark ends the entry of a host that is about to stop.
const leavingMark = "leaving"

// parseEntry reads a host's entry. Without a valid address a host serves its own
// callers only.
func parseEntry(id string, value []byte) membership.Host {
	zone, rest, _ := strings.Cut(string(value), " ")
	addr, mark, _ := strings.Cut(rest, " ")
	h := membership.Host{ID: id, Zone: zone, Leaving: mark == leavingMark}
	if text, ok := strings.CutPrefix(mark, strengthMark); ok {
		if cores, err := strconv.ParseFloat(text, 64); err == nil && cores > 0 && cores <= mostCores {
			h.Strength = cores
		}
	}
	if p, err := netip.ParseAddrPort(addr); err == nil {
		h.Peer = p
	}
	return h
}
