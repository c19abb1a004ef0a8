package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// failover promotes a replica in place of a primary that does not serve. The members were listed at listedAt and have
// answered since then.
func (w *groupMonitor) failover(ctx context.Context, listedAt time.Time, answers []controlResult) {
	// Revoking the leases marks the primary as being replaced. Whatever the outcome, the marks are cleared, and the members'
	// next answers show which one is the primary. Otherwise a primary that was marked by mistake would never be trusted
	// again.
	defer w.group.clearAllReplacements()
	if !w.revokeLeases(ctx, "") {
		w.log("failover_off", "why", "the coordinator role is not certain")
		return
	}
	term := max(highestTerm(answers), w.group.highestSeenTerm()) + 1
	var replicas []Member
	for _, a := range answers {
		if a.member.ID != w.primary.ID {
			replicas = append(replicas, a.member)
		}
	}
	fenced := w.group.controlAll(replicas, Fence{Term: term}, controlTimeout)
	if w.otherPrimarySeen(fenced) {
		w.log("failover_off", "why", "another member leads", "answers", formatResults(fenced))
		return
	}
	fenced = w.confirmFences(term, fenced)
	best, ok := w.chooseSuccessor(answers, fenced)
	if !ok {
		w.log("no_successor", "term", term, "answers", formatResults(fenced))
		return
	}
	w.log("successor", "member", best, "term", term, "answers", formatResults(fenced),
		"found_ms", w.host.now().Sub(listedAt).Milliseconds())
	w.promote(ctx, best, successorChoice{listedAt: listedAt, received: logEndOf(best, fenced)})
}

// confirmFences asks the replicas again after all of them were fenced. A replica that was restarted in between has lost
// its fence and may have acknowledged a write since. Hosts without a lease confirm such a write if the other replicas were
// not fenced yet when they asked. The answer of a replica that lost its fence gets errFenceLost.
func (w *groupMonitor) confirmFences(term group.Term, fenced []controlResult) []controlResult {
	out := w.group.controlAll(answeredMembers(fenced), Probe{}, controlTimeout)
	for i, a := range out {
		if a.err == nil && a.status.Fenced < term {
			out[i].err = errFenceLost
		}
	}
	for _, a := range fenced {
		if a.err != nil {
			out = append(out, a)
		}
	}
	return out
}

// errFenceLost means that a member is no longer fenced.
var errFenceLost = errors.New("the member has lost its fence")

// chooseSuccessor returns the member to promote: a replica that certainly holds every acknowledged write, judged by the
// fenced replicas alone, or else one that holds everything that the demoted old primary held. If there is none, it returns
// the old primary unless that is leaving.
func (w *groupMonitor) chooseSuccessor(answers, fenced []controlResult) (string, bool) {
	if best, ok := group.Successor(nil, w.successorCandidates(fenced)); ok {
		return best.Member, true
	}
	primary, _ := splitPrimary(w.primary.ID, answers)
	if primary.member.ID == "" || primary.err != nil || primary.status.IsPrimary || primary.status.Received.Term < highestTerm(fenced) {
		return "", false
	}
	end := primary.status.Received
	if best, ok := group.Successor(&end, w.successorCandidates(fenced)); ok {
		return best.Member, true
	}
	return w.primary.ID, !w.primary.Leaving
}

// logEndOf returns the end of the member's log according to the answers, or the zero position if it is not among them.
func logEndOf(id string, answers []controlResult) group.Position {
	for _, a := range answers {
		if a.member.ID == id {
			return a.status.Received
		}
	}
	return group.Position{}
}

// otherPrimarySeen reports whether the primary to be replaced may not be the latest one: a member that was taken for a
// replica is the primary, or a term newer than any seen before appeared while some members don't answer, so that one of
// these may be the primary. Replicas would then acknowledge writes of an unknown primary.
func (w *groupMonitor) otherPrimarySeen(answers []controlResult) bool {
	for _, a := range answers {
		if a.err == nil && a.status.IsPrimary {
			w.group.clearReplacement(a.member.ID)
			w.group.adoptPrimary(answers)
			return true
		}
	}
	return highestTerm(answers) > w.group.highestSeenTerm() && countFailed(answers) > 0
}

// successorCandidates converts answers of fenced replicas into the input for the choice of a successor.
func (w *groupMonitor) successorCandidates(answers []controlResult) []group.Standby {
	longMissing := w.group.longMissingMembers()
	var out []group.Standby
	for _, a := range answers {
		if a.err != nil && longMissing[a.member.ID] && w.group.hasEnded(a) {
			continue // its process has ended; Complete says whether another log covers what it may have acknowledged
		}
		out = append(out, group.Standby{
			Member: a.member.ID, Answered: a.err == nil, Fenced: a.err == nil, Received: a.status.Received,
			Leaving: a.member.Leaving || longMissing[a.member.ID], Complete: w.group.coversDeparted(a.status.Received),
		})
	}
	return out
}
