package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// failover promotes a replica in place of a primary that does not serve. The members
// were listed at the given time, and answered since.
func (w *groupMonitor) failover(ctx context.Context, started time.Time, answers []controlResult) {
	// What became of the leases that were taken back, the next answer tells. A member that leads, and was
	// taken for replaced by mistake, must be believed again.
	defer w.group.clearAllReplacements()
	if !w.revokeLeases(ctx, false) {
		w.log("failover_off", "why", "the duty is not certain")
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
		"found_ms", w.host.now().Sub(started).Milliseconds())
	w.promote(ctx, best, successorChoice{listedAt: started, received: receivedBy(best, fenced)})
}

// confirmFences asks the replicas once more after all of them were fenced. One that was started
// again meanwhile has forgotten its fence, and may have acknowledged a write that hosts without
// a lease let stand, since the others were not fenced yet.
func (w *groupMonitor) confirmFences(term group.Term, fenced []controlResult) []controlResult {
	var again []Member
	for _, a := range fenced {
		if a.err == nil {
			again = append(again, a.member)
		}
	}
	out := w.group.controlAll(again, Probe{}, controlTimeout)
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

// chooseSuccessor returns the member to promote: a fenced replica, or one that holds what a
// primary held that has been demoted. If nobody else does, that one leads again.
func (w *groupMonitor) chooseSuccessor(answers, fenced []controlResult) (string, bool) {
	if best, ok := group.Successor(nil, w.standbys(fenced)); ok {
		return best.Member, true
	}
	primary, _ := splitPrimary(w.primary.ID, answers)
	if primary.member.ID == "" || primary.err != nil || primary.status.IsPrimary || primary.status.Received.Term < highestTerm(fenced) {
		return "", false
	}
	end := primary.status.Received
	if best, ok := group.Successor(&end, w.standbys(fenced)); ok {
		return best.Member, true
	}
	return w.primary.ID, !w.primary.Leaving
}

// receivedBy returns the end of the member's log among the answers, or the zero position.
func receivedBy(id string, answers []controlResult) group.Position {
	for _, a := range answers {
		if a.member.ID == id {
			return a.status.Received
		}
	}
	return group.Position{}
}

// otherPrimarySeen reports whether the primary that is to be replaced is not the last one: a
// member leads that it took for a replica, or one has led in a later term and can't
// be told from a replica now. Replicas would then acknowledge to an unknown primary.
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

// standbys turns answers of fenced replicas into what the choice of a successor
// needs.
func (w *groupMonitor) standbys(answers []controlResult) []group.Standby {
	lost := w.group.lostMembers()
	var out []group.Standby
	for _, a := range answers {
		if a.err != nil && lost[a.member.ID] && w.group.hasEnded(a) {
			continue // it has left: what it may have acknowledged is asked of Complete
		}
		out = append(out, group.Standby{
			Member: a.member.ID, Answered: a.err == nil, Fenced: a.err == nil, Received: a.status.Received,
			Leaving: a.member.Leaving || lost[a.member.ID], Complete: w.group.coversDeparted(a.status.Received),
		})
	}
	return out
}
