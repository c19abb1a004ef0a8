package leadership

import (
	"maps"
	"slices"
	"time"
)

const (
	// RoleValidity is how long after a renewal of its duty a holder relies on it, so that two renewals may fail.
	// The platform may remove the entry long before its lease ends without the holder being told. The next
	// holder therefore waits as long before it replaces a primary on which the former one may grant leases.
	RoleValidity = 1800 * time.Millisecond
	// LeaseDuration bounds a lease. A primary counts as lost after about 0.6 s of silence. A lease that ends 1 s
	// after the last reply delays a promotion by 0.4 s at most, and only if its host can't be reached.
	LeaseDuration = time.Second
	// minLease is the shortest lease worth granting: two round trips within a region and a pause of the
	// requesting host.
	minLease = 100 * time.Millisecond
	// maxClockDrift bounds the drift between two clocks within the duration of a lease.
	maxClockDrift = 20 * time.Millisecond
)

// Grants are the leases that the holder of a duty has granted. The zero value is ready for use. It is not safe
// for concurrent use.
type Grants struct {
	// byHost holds the ends of the leases of each host.
	byHost map[string]grantEnds
}

// grantEnds holds the latest times at which the leases of a host end.
type grantEnds struct {
	// anyUntil is the end of a lease of either kind, and fullUntil that of a full one.
	fullUntil, anyUntil time.Time
}

// GrantLimits is the state of the holder that limits a lease it may grant.
type GrantLimits struct {
	// LastAnsweredRequest is when the holder sent the last request that the primary answered. A lease ends at most
	// LeaseDuration later, so that the lease of a host that can't be reached expires while the holder makes sure
	// that the primary is lost.
	LastAnsweredRequest time.Time
	// RoleUntil is when the duty may pass to another host. No lease outlasts it, so a new holder need not know
	// the leases of its predecessor.
	RoleUntil time.Time
	// InSwitchover is true during a planned change of primary. The lease then covers writes only, see
	// Lease.WritesOnly.
	InSwitchover bool
}

// Grant records a lease for a host and returns its duration. It returns zero, and records nothing, if the lease
// would be shorter than minLease.
func (g *Grants) Grant(host string, now time.Time, limits GrantLimits) time.Duration {
	end := limits.LastAnsweredRequest.Add(LeaseDuration)
	if limits.RoleUntil.Before(end) {
		end = limits.RoleUntil
	}
	granted := min(end.Sub(now), LeaseDuration)
	if granted < minLease {
		return 0
	}
	if g.byHost == nil {
		g.byHost = map[string]grantEnds{}
	}
	until, ends := now.Add(granted+maxClockDrift), g.byHost[host]
	ends.anyUntil = later(ends.anyUntil, until)
	if !limits.InSwitchover {
		ends.fullUntil = later(ends.fullUntil, until)
	}
	g.byHost[host] = ends
	return granted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Revoke records that a host has returned its lease.
func (g *Grants) Revoke(host string) { delete(g.byHost, host) }

// Downgrade records that a host keeps its lease for writes only.
func (g *Grants) Downgrade(host string) {
	if ends, ok := g.byHost[host]; ok {
		ends.fullUntil = time.Time{}
		g.byHost[host] = ends
	}
}

// Outstanding returns the sorted hosts whose leases of either kind may still be valid.
func (g *Grants) Outstanding(now time.Time) []string {
	return g.outstanding(now, func(ends grantEnds) time.Time { return ends.anyUntil })
}

// OutstandingFull returns the sorted hosts whose full leases may still be valid.
func (g *Grants) OutstandingFull(now time.Time) []string {
	return g.outstanding(now, func(ends grantEnds) time.Time { return ends.fullUntil })
}

// outstanding removes expired leases and returns the sorted hosts for which end is after now.
func (g *Grants) outstanding(now time.Time, end func(grantEnds) time.Time) []string {
	var out []string
	maps.DeleteFunc(g.byHost, func(_ string, ends grantEnds) bool { return !now.Before(ends.anyUntil) })
	for _, host := range slices.Sorted(maps.Keys(g.byHost)) {
		if now.Before(end(g.byHost[host])) {
			out = append(out, host)
		}
	}
	return out
}

// LastEnd returns when the last lease ends, or the zero time if there is none.
func (g *Grants) LastEnd() time.Time {
	var out time.Time
	for _, ends := range g.byHost {
		out = later(out, ends.anyUntil)
	}
	return out
}
