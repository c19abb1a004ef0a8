package gateway

import (
	"context"

	"pearlatch/core/group"
	"pearlatch/internal/pause"
)

// switchOver replaces a leaving primary while it goes on serving: all replicas but
// the successor are fenced, so that every write from then on is acknowledged by
// the successor.
func (w *groupMonitor) switchOver(ctx context.Context, primary controlResult, replicas []controlResult) {
	started := w.host.now()
	best, ok := switchoverTarget(replicas)
	if !ok {
		w.log("no_heir", "answers", formatResults(replicas))
		return
	}
	term := highestTerm(replicas) + 1
	var others []Member
	for _, r := range replicas {
		if r.member.ID != best.ID {
			others = append(others, r.member)
		}
	}
	fenced := w.group.controlAll(others, Fence{Term: term}, controlTimeout)
	ready := w.hasReceived(best, primary.status.Received) && w.awaitCatchUp(ctx, best, nil, fenced)
	if !ready && !w.demoteForSwitchover(ctx, term, best, fenced) {
		w.log("heir_behind", "member", best.ID, "answers", formatResults(fenced))
		w.group.controlAll(others, Release{}, controlTimeout)
		return
	}
	if !w.revokeLeases(ctx, true) {
		w.group.controlAll(others, Release{}, controlTimeout)
		return
	}
	w.log("successor", "member", best.ID, "term", term, "planned", true)
	if !w.promote(ctx, best.ID, successorChoice{listedAt: started, received: receivedBy(best.ID, replicas)}) {
		w.group.controlAll(others, Release{}, controlTimeout)
	}
}

// switchoverTarget returns the replica that takes over from a leaving primary.
func switchoverTarget(replicas []controlResult) (Member, bool) {
	var best controlResult
	for _, r := range replicas {
		if r.err != nil || r.member.Leaving {
			continue
		}
		if best.member.ID == "" || r.status.Received.Compare(best.status.Received) > 0 {
			best = r
		}
	}
	return best.member, best.member.ID != ""
}

// hasReceived reports whether the heir has received what the primary held a moment ago. A
// deaf heir would lack what a replica acknowledges that comes back unfenced.
func (w *groupMonitor) hasReceived(heir Member, position group.Position) bool {
	s, err := w.group.control(heir, Probe{}, controlTimeout)
	return err == nil && s.Received.Compare(position) >= 0
}

// maxCatchUpRounds bounds the wait for the heir to receive what others had.
const maxCatchUpRounds = 10

// awaitCatchUp reports whether the heir lacks nothing that fenced replicas, or a demoted
// primary, hold.
func (w *groupMonitor) awaitCatchUp(ctx context.Context, heir Member, end *group.Position, fenced []controlResult) bool {
	for range maxCatchUpRounds {
		s, err := w.group.control(heir, Probe{}, controlTimeout)
		if err != nil {
			return false
		}
		all := append(w.standbys(fenced), group.Standby{
			Member: heir.ID, Answered: true, Received: s.Received, Complete: w.group.coversDeparted(s.Received),
		})
		best, ok := group.Successor(end, all)
		if ok && best.Member == heir.ID {
			return true
		}
		if !pause.For(ctx, promotionPollInterval) {
			return false
		}
	}
	return false
}

// demoteForSwitchover makes a leaving primary a replica where a replica that doesn't answer leaves
// open what was acknowledged, and reports whether the heir holds all that it held.
// Otherwise the primary is to lead again.
func (w *groupMonitor) demoteForSwitchover(ctx context.Context, term group.Term, heir Member, fenced []controlResult) bool {
	if countFailed(fenced) == 0 {
		return false
	}
	s, err := w.group.control(w.primary, Demote{Term: term}, controlTimeout)
	if err != nil || s.IsPrimary {
		return false
	}
	w.log("primary_demoted", "member", w.primary.ID, "position", s.Received)
	if w.awaitCatchUp(ctx, heir, &s.Received, fenced) {
		return true
	}
	w.promote(ctx, w.primary.ID, successorChoice{})
	return false
}
