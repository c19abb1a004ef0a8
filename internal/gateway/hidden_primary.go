package gateway

import (
	"context"
	"slices"

	"pearlatch/core/leadership"
)

// hiddenPrimaryRuledOut reports whether no unrecorded promotion of an earlier coordinator can have made a member the primary that
// does not answer. Where only one does not, it promotes the known primary again, so that this one is the latest.
func (w *groupMonitor) hiddenPrimaryRuledOut(ctx context.Context, primary controlResult, replicas []controlResult) bool {
	w.mu.Lock()
	possible := w.host.settings.PromotionTokens && w.predecessor.HiddenPrimaryPossible()
	settled, _ := w.predecessor.SettledAt()
	w.mu.Unlock()
	if !possible {
		return true
	}
	for _, a := range append(replicas[:len(replicas):len(replicas)], primary) {
		if a.sentAt.Before(settled) {
			return false
		}
	}
	replicas = slices.DeleteFunc(slices.Clone(replicas), func(a controlResult) bool { return isReplaced(a.err) })
	found := leadership.FindHiddenPrimary(primary.status.Term, toProbeResults(replicas))
	if found != leadership.HiddenNone {
		w.log("primary_uncertain", "member", primary.member.ID, "term", primary.status.Term, "found", found.String(), "answers", formatResults(replicas))
	}
	if found == leadership.HiddenPossible || found == leadership.HiddenAlone && (w.predecessorMayAct() || !w.reinstate(ctx, primary, replicas, 1)) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.predecessor.HiddenRuledOut = true
	return found == leadership.HiddenNone
}
