package leadership

import (
	"maps"
	"slices"
	"time"
)

const (
	// Certainty is how long after a renewal the holder of a duty counts on it: two renewals may get lost.
	// The platform may take the entry away long before its lease ends, and the holder not hear of it, so
	// the next holder waits as long before it replaces a primary on which this one may grant leases.
	Certainty = 1800 * time.Millisecond
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
	// given holds what a host was granted, by the host.
	given map[string]grant
}

// grant says when a host's leases end at the latest.
type grant struct {
	// writes is the end of a lease of either kind, and reads that of a full one.
	reads, writes time.Time
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
	// HandsOver is true while a planned change of primary is under way. The lease is then
	// one for writes only, see Lease.
	HandsOver bool
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
	if g.given == nil {
		g.given = map[string]grant{}
	}
	until, each := now.Add(granted+drift), g.given[host]
	each.writes = later(each.writes, until)
	if !s.HandsOver {
		each.reads = later(each.reads, until)
	}
	g.given[host] = each
	return granted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Returned records that a host gave its lease back.
func (g *Grants) Returned(host string) { delete(g.given, host) }

// Handed records that a host keeps its lease for writes only.
func (g *Grants) Handed(host string) {
	if each, ok := g.given[host]; ok {
		each.reads = time.Time{}
		g.given[host] = each
	}
}

// Outstanding returns the hosts whose leases may still hold, in order.
func (g *Grants) Outstanding(now time.Time) []string {
	return g.after(now, func(each grant) time.Time { return each.writes })
}

// Reading returns the hosts whose full leases may still hold, in order.
func (g *Grants) Reading(now time.Time) []string {
	return g.after(now, func(each grant) time.Time { return each.reads })
}

func (g *Grants) after(now time.Time, end func(grant) time.Time) []string {
	var out []string
	maps.DeleteFunc(g.given, func(_ string, each grant) bool { return !now.Before(each.writes) })
	for _, host := range slices.Sorted(maps.Keys(g.given)) {
		if now.Before(end(g.given[host])) {
			out = append(out, host)
		}
	}
	return out
}

// End returns when the last lease ends, or the zero time.
func (g *Grants) End() time.Time {
	var out time.Time
	for _, each := range g.given {
		out = later(out, each.writes)
	}
	return out
}
