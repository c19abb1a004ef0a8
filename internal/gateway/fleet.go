package gateway

import (
	"net/netip"
	"slices"
	"strings"
	"sync"

	"pearlatch/core/membership"
)

// fleet is what a host knows of the other hosts: who is listed, and which of them
// failed to answer lately.
type fleet struct {
	mu sync.Mutex
	// hosts are those listed in the store, this one included; generation rises with
	// each change of it.
	hosts      []membership.Host
	generation int64
	peers      map[string]*peer
}

// peer is what is known of another host beyond its entry.
type peer struct {
	// process names the process that answered last, or is empty.
	process string
	// suspect is true from a failure to the next answer. The host is only used when
	// no other one answers, and asked in the background.
	suspect bool
}

// set takes over the list of hosts.
func (f *fleet) set(hosts []membership.Host) {
	slices.SortFunc(hosts, func(a, b membership.Host) int { return strings.Compare(a.ID, b.ID) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(hosts, f.hosts) {
		return
	}
	f.hosts = hosts
	f.generation++
}

// listed returns the hosts in the list and its generation.
func (f *fleet) listed() ([]membership.Host, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts, f.generation
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
	return regained
}

// failed records that a host did not answer. It returns true if it had answered before.
func (f *fleet) failed(id string) (lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(id)
	lost = !p.suspect
	p.suspect = true
	return lost
}

// suspect reports whether a host that is still listed has failed to answer, and its
// address.
func (f *fleet) suspect(id string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.ID == id {
			return h.Peer, f.peer(id).suspect
		}
	}
	delete(f.peers, id)
	return netip.AddrPort{}, false
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

// address returns the address of a listed host for other hosts.
func (f *fleet) address(id string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.ID == id && h.Peer.IsValid() {
			return h.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// entryOf returns the value of a host's entry in the store: its availability zone and
// its address for other hosts, if it has one.
func entryOf(h membership.Host) []byte {
	if !h.Peer.IsValid() {
		return []byte(h.Zone)
	}
	text := h.Zone + " " + h.Peer.String()
	if h.Leaving {
		text += " " + leavingMark
	}
	return []byte(text)
}

// leavingMark ends the entry of a host that is about to stop.
const leavingMark = "leaving"

// parseEntry reads a host's entry. Without a valid address a host serves its own
// callers only.
func parseEntry(id string, value []byte) membership.Host {
	zone, rest, _ := strings.Cut(string(value), " ")
	addr, mark, _ := strings.Cut(rest, " ")
	h := membership.Host{ID: id, Zone: zone, Leaving: mark == leavingMark}
	if p, err := netip.ParseAddrPort(addr); err == nil {
		h.Peer = p
	}
	return h
}
