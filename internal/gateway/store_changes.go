package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"

	"pearlatch/core/kv"
	"pearlatch/internal/follow"
)

// applyChanges applies an update from the store or from another host. It may be called from several goroutines. The error is
// that of the store view, which rejects stale and incomplete updates.
func (h *Host) applyChanges(update follow.StoreUpdate) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	applied, err := h.storeView.Apply(update)
	if err != nil {
		return err
	}
	h.logApplied(applied)
	h.keepFormerRecords(applied.Replaced)
	if applied.PreviousRevision == 0 {
		close(h.storeRead)
	}
	for _, i := range applied.Changed {
		h.applyHostEntry(i)
		h.applyMemberEntry(i)
	}
	h.knownRevision.Store(int64(h.storeView.Revision()))
	configured := h.applyConfig()
	listed := h.fleet.UpdateList(h.now())
	if h.config == nil {
		return nil
	}
	h.applyMembers(configured || listed)
	h.ensureRelevantGroups(configured || listed, applied.Changed)
	h.synced.Store(true)
	return nil
}

// isLaterValue reports whether the first of two values of a key is the later one. Configurations are compared by their
// versions, and members' entries by their sequence numbers if they are of the same incarnation. Other values are never
// later.
func (h *Host) isLaterValue(key string, first, second []byte) bool {
	switch decode := h.ports.Decode; {
	case key == h.ports.Keys.Config:
		a, errA := decode.Config(first)
		b, errB := decode.Config(second)
		return errA == nil && errB == nil && a.Version > b.Version
	case strings.HasPrefix(key, h.ports.Keys.MembersPrefix):
		a, errA := decode.Member(key, first)
		b, errB := decode.Member(key, second)
		return errA == nil && errB == nil && a.Incarnation == b.Incarnation && a.Sequence > b.Sequence
	}
	return false
}

// logApplied logs a restore of the store and the items that the view rejected.
func (h *Host) logApplied(a kv.ApplyResult) {
	if a.Restored {
		h.log("store_restored", "revision", h.storeView.Revision(), "known", a.PreviousRevision, "changed", len(a.Replaced))
	}
	for _, c := range a.Rejected {
		h.log("item_passed_over", "key", c.Received.Key, "revision", c.Received.Revision, "known", c.Known.Revision)
	}
}

// applyHostEntry applies a change of a host's entry and ignores items of other keys.
func (h *Host) applyHostEntry(i kv.Item) {
	if id, ok := strings.CutPrefix(i.Key, h.hostsPrefix()); ok {
		h.fleet.RecordEntry(id, i.Value, i.Removed, h.now())
	}
}

// applyConfig applies the configuration of the store view and reports whether it is newer than the current one. An invalid
// configuration is logged and ignored.
func (h *Host) applyConfig() (newer bool) {
	i, ok := h.storeView.Item(h.ports.Keys.Config)
	if !ok || i.Revision == h.configRevision {
		return false
	}
	h.configRevision = i.Revision
	c, err := h.ports.Decode.Config(i.Value)
	if err != nil {
		h.log("config_refused", "revision", i.Revision, "err", err)
		return false
	}
	if h.config != nil && c.Version <= h.config.Version {
		if c.Version < h.config.Version {
			h.log("config_passed_over", "version", c.Version, "in_force", h.config.Version, "revision", i.Revision)
		}
		return false
	}
	if h.config != nil && h.config.Accounts != nil && c.Accounts == nil {
		// Without accounts, any caller would be admitted.
		h.log("config_refused", "version", c.Version, "err", "it has no accounts, and the one before had")
		return false
	}
	if h.config == nil {
		close(h.configured)
	}
	h.config, h.maxStaleness = c, c.maxStalenessByGroup()
	h.fleet.TrackCandidates(slices.Collect(maps.Keys(c.Groups)))
	h.quotas.Configure(c.Accounts, slices.Collect(maps.Keys(c.Groups)))
	close(h.reconfigured)
	h.reconfigured = make(chan struct{})
	h.log("config", "version", c.Version, "routes", len(c.Routes), "accounts", c.Accounts.Len(), "news_age_ms", h.storeView.Age().Milliseconds())
	return true
}

// applyMembers applies pending changes of members to their groups. If replan is true, it also configures all groups, whose
// serving hosts may have changed.
func (h *Host) applyMembers(replan bool) {
	for name, change := range h.members.takeChanges() {
		if g := h.groups[name]; g != nil {
			g.updateMembers(change)
		}
	}
	if replan {
		for name, g := range h.groups {
			g.configure(h.config.Groups[name], h.maxStaleness[name], h.servingPlan(name), h.fleet.RecentCount())
		}
	}
}

// applyMemberEntry applies a change of a member's entry and ignores items of other keys.
func (h *Host) applyMemberEntry(i kv.Item) {
	if !strings.HasPrefix(i.Key, h.ports.Keys.MembersPrefix) {
		return
	}
	if i.Removed {
		h.members.remove(i.Key)
		return
	}
	m, err := h.ports.Decode.Member(i.Key, i.Value)
	if h.members.put(i, m, err) {
		h.log("member_refused", "key", i.Key, "err", err)
	}
}

// Feed sends the store's changes to another host, until ctx ends or send fails.
func (h *Host) Feed(ctx context.Context, r follow.FeedRequest, send func(follow.StoreUpdate) error) error {
	return h.feeder.Feed(ctx, r, send)
}
