package quota

import "pearlatch/core/quota/holder"

// SetReserveHolders sets the hosts that the record of the previous granter names as possible holders of reserves. With
// nil, any host may hold one. It must precede all requests and reports.
func (g *Granter) SetReserveHolders(recorded []string) {
	g.reserves = holder.NewRegistry(recorded, PortionTTL+maxClockDrift, g.startedAt)
	g.unreported = holder.Unreported{}
	for id, h := range g.hosts {
		h.mayHoldReserve = g.reserves.Allows(id)
		g.unreported.Add(h.mayHoldReserve, 1)
	}
}

// ReserveHolders returns the registry of the hosts that may hold reserves. The caller records what its Prepare returns
// whenever it is Due.
func (g *Granter) ReserveHolders() *holder.Registry { return g.reserves }
