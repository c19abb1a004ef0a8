package gateway

import (
	"context"
	"slices"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
	"pearlatch/internal/pause"
)

// switchOver replaces a primary that still serves, but is leaving, missing from the store or overloaded. The primary continues
// to serve meanwhile. It returns false if it requested no promotion. The fences then stay until finishChange ends them.
//
// All replicas but the switchover target are fenced, so that the target is the one that acknowledges. A replica that joins or
// restarts has no fence, so the fences prove nothing: writes acknowledged before the leases were restricted are covered by
// awaitLeasedWrites, and later ones by the target's receipt, see leadership.WriteProof.
//
// It does nothing while an earlier coordinator may still switch over to another target.
func (w *groupMonitor) switchOver(ctx context.Context, primary controlResult, replicas []controlResult) bool {
	if w.predecessorMayAct() {
		return false
	}
	started := w.host.now()
	steady := func(id string) bool { return w.overloadDetector.Steady(id, started) }
	standby, _ := group.SwitchoverTarget(w.successorCandidates(receivingReplicas(primary, replicas)), steady)
	target, ok := w.group.lookupMember(standby.Member)
	if !ok {
		w.log("no_heir", "answers", formatResults(replicas))
		return false
	}
	if !w.hasReceived(target, primary.status.Received) {
		w.log("heir_behind", "member", target.ID, "answers", formatResults(replicas))
		return false // no fence is set that only a change of primary would end
	}
	// The replicas may not have heard of the primary's term yet, and a fence of that term has no effect.
	term := max(highestTerm(replicas), w.group.highestSeenTerm()) + 1
	var others []Member
	for _, r := range replicas {
		if r.member.ID != target.ID {
			others = append(others, r.member)
		}
	}
	fenced := w.group.controlAll(others, Fence{Term: term}, controlTimeout)
	ready := w.allKnown(fenced) && w.hasReceived(target, primary.status.Received) && w.awaitCatchUp(ctx, target, fenced)
	// The primary is demoted once the leases have ended, so that it serves until then.
	demote := !ready && countFailed(fenced) > 0
	if (ready || demote) && !w.revokeLeases(ctx, target.ID) {
		return false
	}
	revoked := w.host.now()
	ready = ready && w.awaitLeasedWrites(ctx, target, revoked)
	if !ready && !(demote && w.demoteForSwitchover(ctx, term, target)) {
		w.log("heir_behind", "member", target.ID, "answers", formatResults(fenced))
		return false
	}
	w.log("successor", "member", target.ID, "term", term, "planned", true)
	if w.promote(ctx, target.ID, successorChoice{listedAt: started, received: logEndOf(target.ID, replicas)}) == promotionNotRequested {
		return false
	}
	w.interruptions.Observe(w.host.now().Sub(revoked))
	return true
}

// awaitLeasedWrites waits until the target has received every write that the primary may have acknowledged under a full lease.
// These leases ended before the given time. It returns false if the primary does not answer or awaitEnd does.
func (w *groupMonitor) awaitLeasedWrites(ctx context.Context, target Member, ended time.Time) bool {
	end, ok := w.endOfPrimary(ended)
	if !ok {
		w.log("primary_end_unknown", "member", w.primary.ID, "target", target.ID)
		return false
	}
	return w.awaitEnd(ctx, target, end)
}

// awaitEnd waits until the target has received the log of the primary up to its end. It returns false if the target does not
// answer or is still behind after maxCatchUpRounds, or ctx ends.
func (w *groupMonitor) awaitEnd(ctx context.Context, target Member, end group.Position) bool {
	for range maxCatchUpRounds {
		answer := w.group.controlAll([]Member{target}, Probe{}, controlTimeout)
		if leadership.ReadyToLead(end, toProbeResults(answer)[0]) {
			w.log("heir_ready", "member", target.ID, "position", answer[0].status.Received, "primary", w.primary.ID, "end", end)
			return true
		}
		if !pause.For(ctx, promotionPollInterval) {
			return false
		}
	}
	return false
}

// endOfPrimary returns a position of the primary's log that includes every write which it acknowledged before the given time.
// A primary that is too busy for probes is judged by its answers to statements.
func (w *groupMonitor) endOfPrimary(since time.Time) (group.Position, bool) {
	s, err := w.group.control(w.primary, Probe{}, controlTimeout)
	if err == nil {
		return s.Received, s.IsPrimary
	}
	if !isOccupied(err) {
		return group.Position{}, false
	}
	return w.group.appliedSince(w.primary.ID, since)
}

// allKnown reports whether each fenced replica has answered or need not: awaitCatchUp waits in vain otherwise.
func (w *groupMonitor) allKnown(fenced []controlResult) bool {
	return !slices.ContainsFunc(w.successorCandidates(fenced), func(r group.Standby) bool { return !r.Answered })
}

// hasReceived reports whether the target has received the log up to a recent position of the primary. A target that receives
// nothing would lack writes acknowledged by a replica that comes back unfenced.
func (w *groupMonitor) hasReceived(target Member, position group.Position) bool {
	s, err := w.group.control(target, Probe{}, controlTimeout)
	return err == nil && s.Received.Compare(position) >= 0
}

// maxCatchUpRounds bounds the wait, in polls, for the target to receive what other members have.
const maxCatchUpRounds = 10

// awaitCatchUp waits until the target holds everything that the fenced replicas hold. It returns false if the target does not
// answer, is still behind after maxCatchUpRounds, or ctx ends.
func (w *groupMonitor) awaitCatchUp(ctx context.Context, target Member, fenced []controlResult) bool {
	for range maxCatchUpRounds {
		s, err := w.group.control(target, Probe{}, controlTimeout)
		if err != nil {
			return false
		}
		all := append(w.successorCandidates(fenced), group.Standby{
			Member: target.ID, Answered: true, Received: s.Received, Complete: w.group.coversDeparted(s.Received),
		})
		best, ok := group.Successor(nil, all)
		if ok && best.Member == target.ID {
			return true
		}
		if !pause.For(ctx, promotionPollInterval) {
			return false
		}
	}
	return false
}

// demoteForSwitchover demotes the primary if a replica doesn't answer, since it is then unknown what that replica has
// acknowledged. It reports whether the target has received everything that the demoted primary holds. If it has not, the
// old primary is promoted again.
func (w *groupMonitor) demoteForSwitchover(ctx context.Context, term group.Term, target Member) bool {
	s, err := w.group.control(w.primary, Demote{Term: term}, controlTimeout)
	if err != nil || s.IsPrimary {
		return false
	}
	w.log("primary_demoted", "member", w.primary.ID, "position", s.Received)
	// The logs of the fenced replicas don't suffice: a replica that isn't listed yet may have acknowledged.
	if w.awaitEnd(ctx, target, s.Received) {
		return true
	}
	w.promote(ctx, w.primary.ID, successorChoice{})
	return false
}
