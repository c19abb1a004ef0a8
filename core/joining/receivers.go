package joining

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxReceivers is the number of hosts that Receivers keeps.
	maxReceivers = 16
	// receiverTTL is how long a host that received the contents is named to others. Later it may have stopped.
	receiverTTL = 10 * time.Second
)

// Receivers holds the hosts that were last sent the contents of the store, which a busy host names to others. While a fleet
// restarts, the hosts that the store lists have no contents either. The zero value is ready for use. It is not safe for
// concurrent use.
type Receivers struct {
	// recent is ordered by time, the oldest first.
	recent []receiver
}

// receiver is a host that was sent the contents at the given time.
type receiver struct {
	addr netip.AddrPort
	at   time.Time
}

// Add records that the host was sent the contents. It ignores an invalid address, which hosts of earlier versions send.
func (r *Receivers) Add(addr netip.AddrPort, now time.Time) {
	if !addr.IsValid() {
		return
	}
	r.recent = slices.DeleteFunc(r.recent, func(o receiver) bool { return o.addr == addr })
	r.recent = append(r.recent, receiver{addr, now})
	if len(r.recent) > maxReceivers {
		r.recent = slices.Delete(r.recent, 0, len(r.recent)-maxReceivers)
	}
}

// Sample returns up to n of the hosts. random returns numbers in [0, 1).
func (r *Receivers) Sample(n int, now time.Time, random func() float64) []netip.AddrPort {
	r.recent = slices.DeleteFunc(r.recent, func(o receiver) bool { return now.Sub(o.at) > receiverTTL })
	addrs := make([]netip.AddrPort, len(r.recent))
	for i, o := range r.recent {
		addrs[i] = o.addr
	}
	for i := range min(n, len(addrs)) {
		k := i + int(random()*float64(len(addrs)-i))
		addrs[i], addrs[k] = addrs[k], addrs[i]
	}
	return addrs[:min(n, len(addrs))]
}
