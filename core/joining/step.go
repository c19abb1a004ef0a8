package joining

import (
	"net/netip"
	"time"
)

// Step is what a host does next. Its implementations are ReadStore, CountHosts, AskHost and Pause.
type Step interface{ isStep() }

type (
	// ReadStore reads everything from the store.
	ReadStore struct{}
	// ListHosts reads from the store which hosts are listed. The list may be some seconds old.
	ListHosts struct{}
	// AskHost asks another host to pass on what it knows.
	AskHost struct{ Addr netip.AddrPort }
	// Pause waits.
	Pause struct{ For time.Duration }
)

func (ReadStore) isStep() {}
func (ListHosts) isStep() {}
func (AskHost) isStep()   {}
func (Pause) isStep()     {}
