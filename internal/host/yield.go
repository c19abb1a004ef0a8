package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"pearlatch/core/membership"
	"pearlatch/core/statement"
	"pearlatch/io/peer"
)

const (
	// yieldTTL is how long a host that cannot reach a primary leaves its group
	// to another host. It is long because taking the group back delays callers if
	// the primary is still unreachable.
	yieldTTL = 5 * time.Minute
	// ownerHintTTL is how long a host uses the owner that another host's refusal
	// named.
	ownerHintTTL = 5 * time.Second
)

// ownerOverrides holds, by group, the hosts that own a group in place of the host
// that ranks first. The zero value is ready for use.
type ownerOverrides struct {
	mu      sync.Mutex
	byGroup map[string]ownerOverride
}

type ownerOverride struct {
	host    string
	expires time.Time
}

// get returns the ID of the host that overrides the owner of a group, or the empty
// string.
func (s *ownerOverrides) get(group string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	override, ok := s.byGroup[group]
	if !ok || time.Now().After(override.expires) {
		return ""
	}
	return override.host
}

// set overrides the owner of a group for the duration d.
func (s *ownerOverrides) set(group, host string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byGroup == nil {
		s.byGroup = map[string]ownerOverride{}
	}
	s.byGroup[group] = ownerOverride{host, time.Now().Add(d)}
}

// ranked returns the live hosts in the order in which they are to own the group.
// A live host that overrides the owner comes first, unless it is leaving.
func (h *Host) ranked(group string) []membership.Host {
	hosts := membership.Rank(group, h.table.Live())
	id := h.ownerOverrides.get(group)
	at := slices.IndexFunc(hosts, func(other membership.Host) bool { return other.ID == id && !other.Leaving })
	if at > 0 {
		first := hosts[at]
		hosts = append([]membership.Host{first}, slices.Delete(hosts, at, at+1)...)
	}
	return hosts
}

// yieldGroup hands a group to a host that reaches its primary.
func (h *Host) yieldGroup(group, to string) {
	target, ok := h.table.Lookup(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	_, err := h.client.Assume(ctx, target.Peer, &peer.Assume{Group: group, For: yieldTTL})
	if err != nil {
		_ = level.Warn(h.logger).Log("step", "yield", "peer", to, "group", group, "err", err)
		return
	}
	_ = level.Info(h.logger).Log("step", "yield", "peer", to, "group", group)
	h.ownerOverrides.set(group, to, yieldTTL)
	h.wakeReconcile()
}

// Assume implements peer.Handler. This host owns the group until m.For has passed,
// at most for yieldTTL.
func (h peerHandler) Assume(_ context.Context, m *peer.Assume) (*peer.Verdict, error) {
	h.ownerOverrides.set(m.Group, h.settings.Host, min(m.For, yieldTTL))
	h.wakeReconcile()
	return &peer.Verdict{Yes: true}, nil
}

// notOwnerRefusal returns the refusal for a group that this host does not own. It
// names the overriding owner if this host knows one.
func (h *Host) notOwnerRefusal(group string) *statement.Refusal {
	refusal := *errNoOwner
	if to := h.ownerOverrides.get(group); to != h.settings.Host {
		refusal.Owner = to
	}
	return &refusal
}

// applyOwnerHint routes the group to the owner that a refusal names, for
// ownerHintTTL.
func (h *Host) applyOwnerHint(group string, r *statement.Refusal) {
	if r.Owner != "" {
		h.ownerOverrides.set(group, r.Owner, ownerHintTTL)
	}
}
