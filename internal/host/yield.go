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
	// to another one. It is long, since each return costs callers a pause if the
	// way is still broken.
	yieldTTL = 5 * time.Minute
	// ownerHintTTL is how long an entry follows another host's word on who owns a
	// group.
	ownerHintTTL = 5 * time.Second
)

// ownerOverrides holds the hosts that own groups in place of the first by rank. The
// zero value is ready for use.
type ownerOverrides struct {
	mu      sync.Mutex
	byGroup map[string]ownerOverride
}

type ownerOverride struct {
	host    string
	expires time.Time
}

// get returns the substitute for a group, or the empty string.
func (s *ownerOverrides) get(group string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.byGroup[group]
	if !ok || time.Now().After(known.expires) {
		return ""
	}
	return known.host
}

func (s *ownerOverrides) set(group, host string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byGroup == nil {
		s.byGroup = map[string]ownerOverride{}
	}
	s.byGroup[group] = ownerOverride{host, time.Now().Add(d)}
}

// ranked returns the hosts by their claim to own the group. A live substitute
// comes first.
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

// yieldGroup gives a group away to a host that reaches its primary.
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

// Assume implements peer.Handler.
func (h peerHandler) Assume(_ context.Context, m *peer.Assume) (*peer.Verdict, error) {
	h.ownerOverrides.set(m.Group, h.settings.Host, min(m.For, yieldTTL))
	h.wakeReconcile()
	return &peer.Verdict{Yes: true}, nil
}

// notOwnerRefusal returns the refusal of a group that this host does not own, with the
// host that it believes to.
func (h *Host) notOwnerRefusal(group string) *statement.Refusal {
	refusal := *errNoOwner
	if to := h.ownerOverrides.get(group); to != h.settings.Host {
		refusal.Owner = to
	}
	return &refusal
}

// applyOwnerHint takes in the word of a refusal on who owns the group.
func (h *Host) applyOwnerHint(group string, r *statement.Refusal) {
	if r.Owner != "" {
		h.ownerOverrides.set(group, r.Owner, ownerHintTTL)
	}
}
