package membership

import (
	"cmp"
	"net/netip"
)

// Host is one host of the fleet as the platform lists it.
type Host struct {
	// ID is unique among live hosts. A replaced host gets a new one.
	ID string
	// Zone is the availability zone that the host runs in.
	Zone string
	// Peer is the address of the inner protocol.
	Peer netip.AddrPort
	// Cores is what the host can do, in cores of a processor. Zero counts as one.
	Cores float64
	// Leaving is true once the platform or the host itself announces the end.
	Leaving bool
	// Incarnation rises each time that the host refutes a suspicion.
	Incarnation uint64
}

func compareHosts(a, b Host) int { return cmp.Compare(a.ID, b.ID) }
