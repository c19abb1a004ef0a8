package leadership

import (
	"maps"
	"slices"
	"time"
)

const (
	// Duration bounds a lease. A primary counts as lost after about 0.6 s of silence, so a
	// lease that ends a second after the last sign of life keeps a promotion waiting for
	// 0.4 s at most, and that only for a host that can't be reached.
	Duration = time.Second
	// least is the shortest lease that is worth granting: two round trips within a region
	// and a pause of the host that asks.
	least = 100 * time.Millisecond
	// drift is how far two clocks may part within a lease.
	drift = 20 * time.Millisecond
)

// Grants is what the holder of a group's duty has granted. The zero value is ready for
// use. It is not safe for concurrent use.
type Grants struct {
	// ends holds when the lease of a host ends at the latest, by the host.
	ends map[string]time.Time
}

// Standing is what the holder knows of the primary when it is asked for a lease.
type Standing struct {
	// Heard is when the holder last asked the primary something that it answered. A
	// lease ends Duration after it, so that those granted to a host that can't be reached
	// run out while the holder makes sure that the primary is lost.
	Heard time.Time
	// DutyEnds is when the duty itself may fall to another host. No lease outlives it,
	// so a new holder need not know those of its predecessor.
	DutyEnds time.Time
}

// Grant grants a host a lease and returns for how long, or zero.
func (g *Grants) Grant(host string, now time.Time, s Standing) time.Duration {
	end := s.Heard.Add(Duration)
	if s.DutyEnds.Before(end) {
		end = s.DutyEnds
	}
	granted := min(end.Sub(now), Duration)
	if granted < least {
		return 0
	}
	if g.ends == nil {
		g.ends = map[string]time.Time{}
	}
	if until := now.Add(granted + drift); until.After(g.ends[host]) {
		g.ends[host] = until
	}
	return granted
}

// Returned records that a host gave its lease back.
func (g *Grants) Returned(host string) { delete(g.ends, host) }

// Outstanding returns the hosts whose leases may still hold, in order.
func (g *Grants) Outstanding(now time.Time) []string {
	maps.DeleteFunc(g.ends, func(_ string, end time.Time) bool { return !now.Before(end) })
	return slices.Sorted(maps.Keys(g.ends))
}

// End returns when the last lease ends, or the zero time.
func (g *Grants) End() time.Time {
	var out time.Time
	for _, end := range g.ends {
		if end.After(out) {
			out = end
		}
	}
	return out
}
