package leadership

import (
	"maps"
	"slices"
	"time"
)

const (
	// RoleValidity is how long after a renewal of its role a coordinator relies on it, so that two renewals may
	// fail. The platform may remove the entry long before its lease ends without the coordinator being told. The
	// next coordinator therefore waits as long before it replaces a primary on which the former one may grant
	// leases.
	RoleValidity = 1800 * time.Millisecond
	// LeaseDuration bounds a lease. A primary counts as lost after about 0.6 s of silence. A lease that ends 1 s
	// after the last answered request delays a promotion by 0.4 s at most, and only if its host can't be reached.
	LeaseDuration = time.Second
	// minLease is the shortest lease worth granting: two round trips within a region and a pause of the
	// requesting host.
	minLease = 100 * time.Millisecond
	// maxClockDrift bounds the drift between two clocks within the duration of a lease.
	maxClockDrift = 20 * time.Millisecond
)

// Grants are the leases that a coordinator has granted. The zero value is ready for use. It is not safe for
// concurrent use.
type Grants struct {
	// byHost holds the ends of the leases of each host.
	byHost map[string]grantEnds
}

// grantEnds holds the latest times at which the leases of a host end, by their targets. The target of a full lease is empty.
type grantEnds map[string]time.Time

// last returns the latest end, or the zero time.
func (e grantEnds) last() time.Time {
	var out time.Time
	for _, until := range e {
		out = later(out, until)
	}
	return out
}

// GrantLimits is the state of the coordinator that limits a lease it may grant.
type GrantLimits struct {
	// LastAnsweredRequest is when the coordinator sent the last request that the primary answered. A lease ends at
	// most LeaseDuration later, so that the lease of a host that can't be reached expires while the coordinator
	// makes sure that the primary is lost.
	LastAnsweredRequest time.Time
	// RoleUntil is when the role may pass to another host. No lease outlasts it, so a new coordinator need not
	// know the leases of its predecessor.
	RoleUntil time.Time
	// Target is the switchover target, or empty outside a switchover; see Lease.Target.
	Target string
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
	if g.byHost[host] == nil {
		g.byHost[host] = grantEnds{}
	}
	g.byHost[host][limits.Target] = later(g.byHost[host][limits.Target], now.Add(granted+maxClockDrift))
	return granted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Revoke records that a host no longer relies on its leases.
func (g *Grants) Revoke(host string) { delete(g.byHost, host) }

// Restrict records that a host relies on its leases only as far as they name the target.
func (g *Grants) Restrict(host, target string) {
	if ends, ok := g.byHost[host]; ok {
		g.byHost[host] = grantEnds{target: ends.last()}
	}
}

// Outstanding returns the sorted hosts whose leases of either kind may still be valid.
func (g *Grants) Outstanding(now time.Time) []string {
	return g.outstanding(now, grantEnds.last)
}

// Unrestricted returns the sorted hosts with leases that may still be valid and don't name the target.
func (g *Grants) Unrestricted(now time.Time, target string) []string {
	return g.outstanding(now, func(ends grantEnds) time.Time {
		others := maps.Clone(ends)
		delete(others, target)
		return others.last()
	})
}

// outstanding removes expired leases and returns the sorted hosts for which end is after now.
func (g *Grants) outstanding(now time.Time, end func(grantEnds) time.Time) []string {
	var out []string
	maps.DeleteFunc(g.byHost, func(_ string, ends grantEnds) bool { return !now.Before(ends.last()) })
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
		out = later(out, ends.last())
	}
	return out
}
