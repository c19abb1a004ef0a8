package gateway

import (
	"slices"
	"time"

	"pearlatch/core/membership"
	"pearlatch/core/serving"
)

// shouldForward reports whether a statement is to run on another host. While none of those
// that serve the group is in reach, one statement in a while tries them again.
func (h *Host) shouldForward(g *Group) bool {
	if g.servedElsewhere() && h.serversFor(g).fallback {
		g.startFallback()
		return false
	}
	return g.shouldForward()
}

// servedElsewhere reports whether other hosts serve the group.
func (g *Group) servedElsewhere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan.ServedByOthers
}

func (g *Group) shouldForward() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.plan.ServedByOthers {
		return false
	}
	now := g.now()
	if g.isIsolated() && now.Sub(g.serversTriedAt) < isolatedRetryInterval {
		return false
	}
	g.serversTriedAt = now
	return true
}

// fallbackTTL is how long a host goes on to serve in place of others after the last statement
// that came to it for that.
const fallbackTTL = 2 * time.Second

// servingHosts are the hosts that this one turns to for a group that others serve.
type servingHosts struct {
	// servers are those that serve the group, in the order in which this host turns to them. In
	// place of those that failed lately the next ones of the ranking serve.
	servers []membership.Host
	// fallback is true when this host is one of the next ones: it serves the group in place of
	// others that it can't reach. Where one host serves for all, its loss left the others
	// with a connection each until its entry had lapsed, up to 18 s: worth of those seconds 0.64,
	// and 0.9 with a deputy.
	fallback bool
}

// serversFor returns the hosts to turn to for a group. They are worked out once for each change of the
// list of hosts and of those that answer, since each statement that is passed on needs them.
func (h *Host) serversFor(g *Group) servingHosts {
	version := h.fleet.Version()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servingHosts.Of(version, func() servingHosts {
		var out servingHosts
		ranked, k := g.plan.Ranked, g.plan.ServerCount
		for _, o := range h.fleet.FirstUsable(ranked, k) {
			if out.fallback = out.fallback || o.ID == h.settings.Host; o.ID != h.settings.Host {
				out.servers = append(out.servers, o)
			}
		}
		if len(out.servers) == 0 {
			out.servers = ranked[:k]
		}
		out.servers = serving.ForwardingOrder(h.fleet.Self(), out.servers)
		return out
	})
}

// startFallback records that the host serves the group in place of others.
func (g *Group) startFallback() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.plan.ServedByOthers {
		return
	}
	now := g.now()
	if !g.isFallback(now) {
		g.log("deputy", "for", g.plan.Ranked[0].ID)
	}
	g.fallbackUntil = now.Add(fallbackTTL)
}

// isFallback reports whether the host serves the group in place of others. The group's lock is held.
func (g *Group) isFallback(now time.Time) bool {
	return g.plan.ServedByOthers && now.Before(g.fallbackUntil)
}

// alternativeHosts returns the hosts that may reach the primary while this one serves the group and does not
// reach it: others that serve, which have connections, and where all hosts serve those near by.
func (h *Host) alternativeHosts(g *Group) []membership.Host {
	if h.ports.Peers == nil {
		return nil
	}
	g.mu.Lock()
	plan := g.plan
	g.mu.Unlock()
	switch {
	case plan.ServedByOthers:
		return nil
	case plan.ServerCount == 0:
		return h.fleet.AllOthers()
	}
	return slices.DeleteFunc(slices.Clone(plan.Ranked), func(o membership.Host) bool { return o.ID == h.settings.Host })
}

// primaryReachTimeout is how long the primary may be silent, or unknown, until this host looks
// for others that reach it. Statements take up to 50 ms.
const primaryReachTimeout = 150 * time.Millisecond

// primaryUnreachable reports whether this host has been without the primary for a while.
func (g *Group) primaryUnreachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryUnreachableLocked()
}

// primaryUnreachableLocked is primaryUnreachable with the group's lock held. While the primary is being
// replaced no other host reaches one either.
func (g *Group) primaryUnreachableLocked() bool {
	if g.primaryID == "" && g.primaryBeingReplaced() {
		return false
	}
	since := g.noPrimarySince
	if m := g.members[g.primaryID]; m != nil {
		since = m.silentSince
	}
	return !since.IsZero() && g.now().Sub(since) > primaryReachTimeout
}

// primaryBeingReplaced reports whether the holder of the duty has set out to replace the primary. The
// group's lock is held.
func (g *Group) primaryBeingReplaced() bool {
	return slices.ContainsFunc(g.sortedMembers, func(m *member) bool { return m.beingReplaced })
}

// isolationTimeout is how long the hosts that serve a group must have been out of reach until
// a host opens a connection of its own. All of them are gone for that long when
// everything starts again, and the members' connections are theirs then.
const isolationTimeout = 400 * time.Millisecond

// isolatedRetryInterval is the pause between two statements of such a host that try the hosts that
// serve the group again.
const isolatedRetryInterval = 500 * time.Millisecond

// noteServerReached records that a host that serves the group took a statement.
func (g *Group) noteServerReached() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serversLostSince = time.Time{}
}

// noteServerUnreached records that one of them did not, and reports whether this host is to serve
// the group itself meanwhile.
func (g *Group) noteServerUnreached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serversLostSince.IsZero() {
		g.serversLostSince = g.now()
	}
	return g.isIsolated()
}

// isIsolated reports whether the host serves a group that it should not, since none of the
// hosts that should is in reach. The group's lock is held.
func (g *Group) isIsolated() bool {
	return !g.serversLostSince.IsZero() && g.now().Sub(g.serversLostSince) > isolationTimeout
}

// servingPlan says who serves a group. h.mu is held.
func (h *Host) servingPlan(name string) serving.Plan {
	if h.ports.Peers == nil {
		return serving.Plan{}
	}
	return h.fleet.Plan(name, h.config.Groups[name].Connections-reservedControlConns)
}

// hasDedicatedServers reports whether a few hosts serve the group for all. The group's lock is held.
func (g *Group) hasDedicatedServers() bool { return g.plan.ServerCount > 0 }
