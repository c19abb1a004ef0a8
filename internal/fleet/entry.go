package fleet

import (
	"net/netip"
	"strconv"
	"strings"

	"pearlatch/core/membership"
)

// FormatEntry returns the value of a host's entry in the store: its availability zone, its address for other hosts, if it
// has one, and that it leaves or its strength.
func FormatEntry(h membership.Host) []byte {
	if !h.Peer.IsValid() {
		return []byte(h.Zone)
	}
	text := h.Zone + " " + h.Peer.String()
	switch {
	case h.Leaving:
		// Hosts of the version before read no further word. A host that leaves has no claims, whatever its strength.
		text += " " + leavingMark
	case h.Cores > 0:
		text += " " + coresPrefix + strconv.FormatFloat(h.Cores, 'g', -1, 64)
	}
	return []byte(text)
}

// coresPrefix precedes a host's strength in its entry.
const coresPrefix = "cores="

// MaxCores is the largest strength that is believed.
const MaxCores = 1 << 12

// leavingMark ends the entry of a host that is about to stop.
const leavingMark = "leaving"

// ParseEntry reads a host's entry. Without a valid address a host serves its own
// callers only.
func ParseEntry(id string, value []byte) membership.Host {
	zone, rest, _ := strings.Cut(string(value), " ")
	addr, mark, _ := strings.Cut(rest, " ")
	h := membership.Host{ID: id, Zone: zone, Leaving: mark == leavingMark}
	if text, ok := strings.CutPrefix(mark, coresPrefix); ok {
		if cores, err := strconv.ParseFloat(text, 64); err == nil && cores > 0 && cores <= MaxCores {
			h.Cores = cores
		}
	}
	if p, err := netip.ParseAddrPort(addr); err == nil {
		h.Peer = p
	}
	return h
}
