package joining

import (
	"net/netip"
	"time"
)

// Step is an action for the host to execute. Its implementations are ReadStore, ListHosts, AskHost and Pause.
type Step interface{ isStep() }

type (
	// ReadStore reads the whole contents from the store.
	ReadStore struct{}
	// ListHosts reads the list of hosts from the store, which may be some seconds old. Its result goes to
	// Joiner.SetListedHosts.
	ListHosts struct{}
	// AskHost fetches the contents from another host.
	AskHost struct{ Addr netip.AddrPort }
	// Backoff waits for the duration For.
	Backoff struct{ For time.Duration }
)

func (ReadStore) isStep() {}
func (ListHosts) isStep() {}
func (AskHost) isStep()   {}
func (Backoff) isStep()   {}
