package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"pearlatch/core/kv"
)

// groupRetention is how long an unused Group is kept. After that its leases, load measurements and
// knowledge of the members are out of date, and no statement lasts as long.
const groupRetention = 30 * time.Second

// group returns the Group with the given name, or nil if the configuration has no such group. It
// creates the Group if necessary. A host keeps a Group only while it may serve the group, may be or
// become its coordinator, or has recently received a statement for it. A host's work for groups
// therefore grows with the number of groups relevant to it, not with the size of the configuration.
func (h *Host) group(name string) *Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ensureGroup(name)
}

// existingGroup returns the Group with the given name, or nil if this host has none.
func (h *Host) existingGroup(name string) *Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[name]
}

// ensureGroup is like group, but h.mu must be held.
func (h *Host) ensureGroup(name string) *Group {
	g := h.groups[name]
	if g == nil {
		if h.config == nil || !h.config.hasGroup(name) {
			return nil
		}
		g = h.createGroup(name)
	}
	g.lastNeededAt = h.now()
	return g
}

// createGroup creates a Group and wakes the goroutine that starts its monitor and lease client. h.mu
// must be held.
func (h *Host) createGroup(name string) *Group {
	g := newGroup(name, h)
	h.groups[name] = g
	g.updateMembers(memberChange{members: h.members.list(name)})
	g.configure(h.config.Groups[name], h.maxStaleness[name], h.servingPlan(name), h.fleet.RecentCount())
	select {
	case h.groupCreated <- struct{}{}:
	default:
	}
	return g
}

// isRelevant reports whether this host may serve the group, or is or may become its coordinator: it is
// one of the group's candidates, which include those that serve it for other hosts, or the coordinator
// entry names it. h.mu must be held.
func (h *Host) isRelevant(name string) bool {
	if h.isCandidate(name) {
		return true
	}
	entry, ok := h.storeView.Item(h.coordinatorKey(name))
	return ok && string(entry.Value) == h.settings.Host
}

// ensureRelevantGroups creates the Groups that are relevant to this host. If all is true, after a
// change of the hosts or of the configuration, it checks all groups; otherwise only those whose
// coordinator entries changed. h.mu must be held.
func (h *Host) ensureRelevantGroups(all bool, changed []kv.Item) {
	if all {
		for name := range h.config.Groups {
			if h.groups[name] == nil && h.isRelevant(name) {
				h.ensureGroup(name)
			}
		}
		return
	}
	for _, i := range changed {
		if name, ok := strings.CutPrefix(i.Key, h.coordinatorKey("")); ok && h.groups[name] == nil && string(i.Value) == h.settings.Host {
			h.ensureGroup(name)
		}
	}
}

// dropUnusedGroups drops the Groups that are no longer relevant or needed. It must run in the goroutine that
// acquires coordinator roles, so that no role of a group is acquired while the group is dropped.
func (h *Host) dropUnusedGroups() {
	for _, g := range h.allGroups() {
		h.mu.Lock()
		c := h.coordinators[g.name]
		h.mu.Unlock()
		if c == nil || c.isHeld() || g.inUse() {
			continue
		}
		h.mu.Lock()
		if h.now().Sub(g.lastNeededAt) >= groupRetention && !(h.config.hasGroup(g.name) && h.isRelevant(g.name)) {
			delete(h.groups, g.name)
			delete(h.coordinators, g.name)
			h.fleet.Forget(g.name)
			g.cancel()
		}
		h.mu.Unlock()
	}
}

// inUse reports whether the group has connections or waiting statements.
func (g *Group) inUse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > 0 || len(g.controlConns) > 0 || g.pool.Waiting() > 0
}

// ensureGroupStarted starts the goroutines of a Group with start unless they run. They end with ctx or
// when the Group is dropped. It returns the Group's coordinator, or nil if the Group has been dropped.
func (h *Host) ensureGroupStarted(ctx context.Context, g *Group, start func(func())) *coordinator {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.coordinators[g.name]; c != nil {
		return c
	}
	if h.groups[g.name] != g {
		return nil // dropped in the meantime
	}
	c := &coordinator{host: h, group: g}
	h.coordinators[g.name] = c
	ctx, g.cancel = context.WithCancel(ctx)
	start(func() { c.monitor(ctx) })
	start(func() { h.maintainLease(ctx, g) })
	return c
}

// allGroups returns all Groups of this host.
func (h *Host) allGroups() []*Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.groups))
}
