package gateway

import (
	"context"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

// reinstateInterval is the minimum time between two promotions of a primary that end fences. Each interrupts service, and one that
// leaves fences is not going to be the last.
const reinstateInterval = 5 * time.Second

// finishChange finishes a change of primary that has left fences behind, see leadership.NextFinishStep. It returns false if
// there is none, or if the fences may be those of another coordinator.
func (w *groupMonitor) finishChange(ctx context.Context, primary controlResult, replicas []controlResult) bool {
	step := leadership.NextFinishStep(toProbeResults([]controlResult{primary})[0], toProbeResults(replicas), w.handOverAttempts)
	if step == leadership.NothingToFinish {
		w.handOverAttempts = 0
		return false
	}
	if !w.mayFinishChange() || w.predecessorMayAct() || step == leadership.Reinstate && w.host.now().Sub(w.reinstatedAt) < reinstateInterval {
		w.log("fences_kept", "answers", formatResults(replicas))
		return false
	}
	w.log("change_unfinished", "member", primary.member.ID, "step", step.String(), "attempts", w.handOverAttempts, "answers", formatResults(replicas))
	switch step {
	case leadership.HandOver:
		w.handOverAttempts++
		w.switchOver(ctx, primary, replicas)
	case leadership.Reinstate:
		w.handOverAttempts = 0
		w.reinstate(ctx, primary, replicas, 0)
	}
	return true
}

// mayFinishChange reports whether this host is certain to be the coordinator until a command that it sends now has timed out.
func (w *groupMonitor) mayFinishChange() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	same := w.held && !w.resigning && w.predecessor.AcquiredAt.Equal(w.roundAcquiredAt)
	return same && leadership.MayFinishChange(w.host.now(), w.soleHolderUntil(), controlTimeout)
}

// reinstate demotes the primary and promotes it again, and reports whether it leads then. Its log holds every write that it has
// acknowledged. The leases end first, since callers would be sent to a member that refuses their writes.
//
// The replicas are fenced meanwhile, above the terms of hidden primaries: if one comes back before the promotion has taken effect,
// no other member than the demoted one acknowledges its writes. Where there was none, the fences may exceed the new term and
// outlast the promotion; finishChange ends them by another one, with no hidden primaries.
func (w *groupMonitor) reinstate(ctx context.Context, primary controlResult, replicas []controlResult, hidden group.Term) bool {
	defer w.group.clearAllReplacements()
	if !w.revokeLeases(ctx, "") {
		return false
	}
	term := max(highestTerm(replicas), w.group.highestSeenTerm()) + 1
	fenced := w.group.controlAll(answeredMembers(replicas), Fence{Term: term + hidden}, controlTimeout)
	if countFailed(w.confirmFences(term+hidden, fenced)) > 0 {
		w.log("primary_not_demoted", "member", primary.member.ID, "term", term, "answers", formatResults(fenced))
		return false
	}
	s, err := w.group.control(primary.member, Demote{Term: term}, controlTimeout)
	if err != nil || s.IsPrimary {
		w.log("primary_not_demoted", "member", primary.member.ID, "term", term, "err", err)
		return false
	}
	w.log("primary_demoted", "member", primary.member.ID, "position", s.Received)
	w.group.clearAllReplacements() // the primary is also the successor
	if hidden == 0 {
		w.reinstatedAt = w.host.now()
	}
	return w.promote(ctx, primary.member.ID, successorChoice{}) == promotionLed
}

// answeredMembers returns the members whose answers are not errors.
func answeredMembers(answers []controlResult) []Member {
	var out []Member
	for _, a := range answers {
		if a.err == nil {
			out = append(out, a.member)
		}
	}
	return out
}

// receivingReplicas returns the replicas that answered and receive the primary's log.
func receivingReplicas(primary controlResult, replicas []controlResult) []controlResult {
	var out []controlResult
	for _, r := range replicas {
		if r.err == nil && r.status.Fenced <= primary.status.Term {
			out = append(out, r)
		}
	}
	return out
}

// predecessorMayAct reports whether an earlier coordinator may still rely on its role, so that it grants leases or switches
// over.
func (w *groupMonitor) predecessorMayAct() bool { return w.host.now().Before(w.predecessorEnd()) }

// predecessorEnd returns the time until which predecessorMayAct returns true.
func (d *coordinator) predecessorEnd() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.predecessor.LeasesEnd()
}
