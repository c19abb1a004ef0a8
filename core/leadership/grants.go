package leadership

import (
	"maps"
	"slices"
	"time"
)

const (
	// DutyValidity is how long after a renewal the holder of a duty counts on it: two renewals may get lost.
	// The platform may take the entry away long before its lease ends, and the holder not hear of it, so
	// the next holder waits as long before it replaces a primary on which this one may grant leases.
	DutyValidity = 1800 * time.Millisecond
	// LeaseDuration bounds a lease. A primary counts as lost after about 0.6 s of silence, so a
	// lease that ends a second after the last sign of life keeps a promotion waiting for
	// 0.4 s at most, and that only for a host that can't be reached.
	LeaseDuration = time.Second
	// minLease is the shortest lease that is worth granting: two round trips within a region
	// and a pause of the host that asks.
	minLease = 100 * time.Millisecond
	// maxClockDrift is how far two clocks may part within a lease.
	maxClockDrift = 20 * time.Millisecond
)

// Grants is what the holder of a group's duty has granted. The zero value is ready for
// use. It is not safe for concurrent use.
type Grants struct {
	// byHost holds what a host was granted, by the host.
	byHost map[string]grantEnds
}

// grantEnds says when a host's leases end at the latest.
type grantEnds struct {
	// anyUntil is the end of a lease of either kind, and fullUntil that of a full one.
	fullUntil, anyUntil time.Time
}

// GrantLimits is what the holder knows of the primary when it is asked for a lease.
type GrantLimits struct {
	// LastReply is when the holder last asked the primary something that it answered. A
	// lease ends Duration after it, so that those granted to a host that can't be reached
	// run out while the holder makes sure that the primary is lost.
	LastReply time.Time
	// DutyUntil is when the duty itself may fall to another host. No lease outlives it,
	// so a new holder need not know those of its predecessor.
	DutyUntil time.Time
	// InSwitchover is true while a planned change of primary is under way. The lease is then
	// one for writes only, see Lease.
	InSwitchover bool
}

// Grant grants a host a lease and returns for how long, or zero.
func (g *Grants) Grant(host string, now time.Time, s GrantLimits) time.Duration {
	end := s.LastReply.Add(LeaseDuration)
	if s.DutyUntil.Before(end) {
		end = s.DutyUntil
	}
	granted := min(end.Sub(now), LeaseDuration)
	if granted < minLease {
		return 0
	}
	if g.byHost == nil {
		g.byHost = map[string]grantEnds{}
	}
	until, each := now.Add(granted+maxClockDrift), g.byHost[host]
	each.anyUntil = later(each.anyUntil, until)
	if !s.InSwitchover {
		each.fullUntil = later(each.fullUntil, until)
	}
	g.byHost[host] = each
	return granted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Release records that a host gave its lease back.
func (g *Grants) Release(host string) { delete(g.byHost, host) }

// Downgrade records that a host keeps its lease for writes only.
func (g *Grants) Downgrade(host string) {
	if each, ok := g.byHost[host]; ok {
		each.fullUntil = time.Time{}
		g.byHost[host] = each
	}
}

// Outstanding returns the hosts whose leases may still hold, in order.
func (g *Grants) Outstanding(now time.Time) []string {
	return g.outstanding(now, func(each grantEnds) time.Time { return each.anyUntil })
}

// OutstandingFull returns the hosts whose full leases may still hold, in order.
func (g *Grants) OutstandingFull(now time.Time) []string {
	return g.outstanding(now, func(each grantEnds) time.Time { return each.fullUntil })
}

func (g *Grants) outstanding(now time.Time, end func(grantEnds) time.Time) []string {
	var out []string
	maps.DeleteFunc(g.byHost, func(_ string, each grantEnds) bool { return !now.Before(each.anyUntil) })
	for _, host := range slices.Sorted(maps.Keys(g.byHost)) {
		if now.Before(end(g.byHost[host])) {
			out = append(out, host)
		}
	}
	return out
}

// LastEnd returns when the last lease ends, or the zero time.
func (g *Grants) LastEnd() time.Time {
	var out time.Time
	for _, each := range g.byHost {
		out = later(out, each.anyUntil)
	}
	return out
}
