package gateway

import (
	"slices"
	"time"

	"pearlatch/core/membership"
	"pearlatch/core/serving"
)

// passesOn reports whether a statement is to run on another host. While none of those
// that serve the group is in reach, one statement in a while tries them again.
func (h *Host) passesOn(g *Group) bool {
	if h.deputizes(g) {
		g.deputize()
		return false
	}
	return g.passesOn()
}

func (g *Group) passesOn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.servers) == 0 {
		return false
	}
	now := g.now()
	if g.strays() && now.Sub(g.triedAt) < strayRetry {
		return false
	}
	g.triedAt = now
	return true
}

// deputyTime is how long a host goes on to serve in place of others after the last statement
// that came to it for that.
const deputyTime = 2 * time.Second

// deputizes reports whether this host serves a group in place of others that it can't reach: it
// comes next in the order of all hosts. Where one host serves for all, its loss left the others
// with a connection each until its entry had lapsed, up to 18 s: worth of those seconds 0.64, and
// 0.9 with a deputy.
func (h *Host) deputizes(g *Group) bool {
	ranked, k := g.ranking()
	for _, o := range h.fleet.firstUsable(ranked, k) {
		if o.ID == h.settings.Host {
			return true
		}
	}
	return false
}

// ranking returns the hosts in the order in which they serve the group, and how many do. It
// is empty while this host is one of them, or all are.
func (g *Group) ranking() ([]membership.Host, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranked, g.hosts
}

// deputize records that the host serves the group in place of others.
func (g *Group) deputize() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.servers) == 0 {
		return
	}
	now := g.now()
	if !g.deputy(now) {
		g.log("deputy", "for", g.servers[0].ID)
	}
	g.deputyUntil = now.Add(deputyTime)
}

// deputy reports whether the host serves the group in place of others. The group's lock is held.
func (g *Group) deputy(now time.Time) bool { return len(g.servers) > 0 && now.Before(g.deputyUntil) }

// detourOrder returns the other hosts, while this one serves the group.
func (g *Group) detourOrder() []membership.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detours
}

// reachPatience is how long the primary may be silent, or unknown, until this host looks
// for others that reach it. Statements take up to 50 ms.
const reachPatience = 150 * time.Millisecond

// primaryUnreached reports whether this host has been without the primary for a while.
func (g *Group) primaryUnreached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLost()
}

// primaryLost is primaryUnreached with the group's lock held. While the primary is being
// replaced no other host reaches one either.
func (g *Group) primaryLost() bool {
	if g.leader == "" && g.replacing() {
		return false
	}
	since := g.leaderlessSince
	if m := g.members[g.leader]; m != nil {
		since = m.silentSince
	}
	return !since.IsZero() && g.now().Sub(since) > reachPatience
}

// replacing reports whether the holder of the duty has set out to replace the primary. The
// group's lock is held.
func (g *Group) replacing() bool {
	return slices.ContainsFunc(g.order, func(m *member) bool { return m.recalled })
}

// serverOrder returns the other hosts that serve the group.
func (g *Group) serverOrder() []membership.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers
}

// strayAfter is how long the hosts that serve a group must have been out of reach until
// a host opens a connection of its own. All of them are gone for that long when
// everything starts again, and the members' connections are theirs then.
const strayAfter = 400 * time.Millisecond

// strayRetry is the pause between two statements of such a host that try the hosts that
// serve the group again.
const strayRetry = 500 * time.Millisecond

// reached records that a host that serves the group took a statement.
func (g *Group) reached() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachedSince = time.Time{}
}

// unreached records that one of them did not, and reports whether this host is to serve
// the group itself meanwhile.
func (g *Group) unreached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unreachedSince.IsZero() {
		g.unreachedSince = g.now()
	}
	return g.strays()
}

// strays reports whether the host serves a group that it should not, since none of the
// hosts that should is in reach. The group's lock is held.
func (g *Group) strays() bool {
	return !g.unreachedSince.IsZero() && g.now().Sub(g.unreachedSince) > strayAfter
}

// servingPlan says who serves a group, as worked out from a list of hosts.
type servingPlan struct {
	generation  int64
	connections int
	// hosts is how many hosts share the members' connections.
	hosts int
	// pooled is true when a few hosts serve for all.
	pooled bool
	// others are the hosts that serve the group while this one does not, and detours
	// those that may reach the primary while this one serves and does not reach it.
	others, detours []membership.Host
	// ranked are all hosts, this one included, in the order in which they serve the group, while
	// others do.
	ranked []membership.Host
	// near is how many connections this host may keep to a replica of its own availability
	// zone while others serve.
	near int
	// nearTaken is how many connections to a replica other hosts may keep while this one serves.
	nearTaken int
}

// planOf says who serves a group. h.mu is held.
func (h *Host) planOf(name string) servingPlan {
	hosts, generation := h.fleet.listed()
	connections := h.config.Groups[name].Connections - controlShare
	p := h.serving[name]
	if p.generation != generation || p.connections != connections {
		p = servingPlan{generation: generation, connections: connections}
		p.hosts, p.others, p.ranked = h.whoServes(name, hosts, connections)
		p.pooled = p.hosts > 0
		if len(p.others) == 0 {
			p.detours = serving.Order(h.self(), h.others(hosts))
			p.nearTaken = serving.NearTaken(hosts, connections)
		} else {
			p.near = serving.Near(h.self(), hosts, connections)
		}
		h.serving[name] = p
	}
	if !p.pooled {
		p.hosts = h.countHosts()
	}
	return p
}

// others returns all other hosts that this one can speak to.
func (h *Host) others(listed []membership.Host) []membership.Host {
	if h.ports.Peers == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(listed), func(o membership.Host) bool {
		return o.ID == h.settings.Host || o.Leaving || !o.Peer.IsValid()
	})
}

// whoServes returns how many hosts serve a group, or zero for all of them, and those to
// turn to if this one is not among them, with the order of all.
func (h *Host) whoServes(name string, listed []membership.Host, connections int) (k int, others, ranked []membership.Host) {
	self := h.self()
	hosts := slices.DeleteFunc(slices.Clone(listed), func(o membership.Host) bool { return !o.Peer.IsValid() })
	here := slices.ContainsFunc(hosts, func(o membership.Host) bool { return o.ID == self.ID })
	if h.ports.Peers == nil || len(hosts) == 0 || here && len(hosts) == 1 {
		return 0, nil, nil
	}
	all := hosts
	if !here {
		all = append(slices.Clone(hosts), self)
	}
	if serving.Count(connections, len(all), 1) == len(all) {
		return 0, nil, nil
	}
	servers := serving.Servers(name, hosts, connections)
	if slices.ContainsFunc(servers, func(o membership.Host) bool { return o.ID == self.ID }) {
		return len(servers), nil, nil
	}
	return len(servers), serving.Order(self, servers), serving.Ranked(name, hosts)
}
