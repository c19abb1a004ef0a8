package membership

import (
	"cmp"
	"net/netip"
)

// Host describes a host of the fleet.
type Host struct {
	// ID is unique among live hosts. The replacement of a host has a new ID.
	ID string
	// Zone is the availability zone that the host runs in.
	Zone string
	// Peer is the address at which the host accepts connections from other hosts.
	Peer netip.AddrPort
	// Cores is the number of CPU cores available to the host, possibly a fraction.
	// Zero counts as one.
	Cores float64
	// Leaving is true once the platform or the host itself has announced that the
	// host is going to stop.
	Leaving bool
	// Incarnation increases each time the host refutes a suspicion or announces
	// that it is leaving.
	Incarnation uint64
}

func compareHosts(a, b Host) int { return cmp.Compare(a.ID, b.ID) }
