package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"pearlatch/core/kv"
)

// groupRetention is how long a Group is kept that nothing depends on. Leases, windows and what was learned of members are
// worth nothing after that, and no statement lasts as long.
const groupRetention = 30 * time.Second

// group returns the Group of a name, which comes into being if the configuration describes it, or nil. A host keeps a
// Group only while something depends on it: it may serve the group or hold its duty, or a statement came for it lately.
// What it does for groups then goes with those that concern it, not with all of the configuration.
func (h *Host) group(name string) *Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ensureGroup(name)
}

// existingGroup returns the Group of a name if there is one.
func (h *Host) existingGroup(name string) *Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[name]
}

// ensureGroup is group with h.mu held.
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

// createGroup brings a Group into being, and wakes what looks after duties and leases. h.mu is held.
func (h *Host) createGroup(name string) *Group {
	g := newGroup(name, h)
	h.groups[name] = g
	g.updateMembers(memberChange{members: h.members.list(name)})
	g.configure(h.config.Groups[name], h.maxStaleness[name], h.servingPlan(name), h.fleet.Seen())
	select {
	case h.groupCreated <- struct{}{}:
	default:
	}
	return g
}

// isRelevant reports whether the host may serve a group, or hold its duty, now or next. h.mu is held.
func (h *Host) isRelevant(name string) bool {
	if h.isCandidate(name) {
		return true
	}
	entry, ok := h.storeView.Item(h.coordinatorKey(name))
	return ok && string(entry.Value) == h.settings.Host
}

// ensureRelevantGroups brings the Groups into being that concern this host. After a change of the list of hosts or of the
// configuration that is looked at for all groups, and else for those whose duties changed. h.mu is held.
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

// dropUnusedGroups drops the Groups that nothing depends on any more. Duties are taken by the same goroutine, so that none
// is taken meanwhile.
func (h *Host) dropUnusedGroups() {
	for _, g := range h.allGroups() {
		h.mu.Lock()
		d := h.coordinators[g.name]
		h.mu.Unlock()
		if d == nil || d.isHeld() || g.inUse() {
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

// inUse reports whether the group has connections, or statements that wait for one.
func (g *Group) inUse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > 0 || len(g.controlConns) > 0 || g.pool.Waiting() > 0
}

// startGroup starts what looks after a Group, which ends with ctx or once the Group is dropped.
func (h *Host) startGroup(ctx context.Context, g *Group, start func(func())) *coordinator {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.coordinators[g.name]; d != nil {
		return d
	}
	if h.groups[g.name] != g {
		return nil // dropped meanwhile
	}
	d := &coordinator{host: h, group: g}
	h.coordinators[g.name] = d
	ctx, g.cancel = context.WithCancel(ctx)
	start(func() { d.monitor(ctx) })
	start(func() { h.maintainLease(ctx, g) })
	return d
}

// allGroups returns the Groups that there are.
func (h *Host) allGroups() []*Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.groups))
}
