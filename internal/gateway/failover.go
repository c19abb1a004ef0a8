package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// failover promotes a replica in place of a primary that does not serve. The members
// were listed at the given time, and answered since.
func (w *watcher) failover(ctx context.Context, started time.Time, answers []answered) {
	// What became of the leases that were taken back, the next answer tells. A member that leads, and was
	// taken for replaced by mistake, must be believed again.
	defer w.group.resumeAll()
	if !w.recall(ctx, false) {
		w.log("failover_off", "why", "the duty is not certain")
		return
	}
	term := max(newest(answers), w.group.seenTerm()) + 1
	var replicas []Member
	for _, a := range answers {
		if a.member.ID != w.primary.ID {
			replicas = append(replicas, a.member)
		}
	}
	fenced := w.group.orderAll(replicas, Fence{Term: term}, orderTimeout)
	if w.misled(fenced) {
		w.log("failover_off", "why", "another member leads", "answers", describe(fenced))
		return
	}
	fenced = w.stillFenced(term, fenced)
	best, ok := w.successor(answers, fenced)
	if !ok {
		w.log("no_successor", "term", term, "answers", describe(fenced))
		return
	}
	w.log("successor", "member", best, "term", term, "answers", describe(fenced),
		"found_ms", w.host.now().Sub(started).Milliseconds())
	w.promote(ctx, best, choice{listed: started, held: heldBy(best, fenced)})
}

// stillFenced asks the replicas once more after all of them were fenced. One that was started
// again meanwhile has forgotten its fence, and may have acknowledged a write that hosts without
// a lease let stand, since the others were not fenced yet.
func (w *watcher) stillFenced(term group.Term, fenced []answered) []answered {
	var again []Member
	for _, a := range fenced {
		if a.err == nil {
			again = append(again, a.member)
		}
	}
	out := w.group.orderAll(again, Probe{}, orderTimeout)
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

// successor returns the member to promote: a fenced replica, or one that holds what a
// primary held that has been demoted. If nobody else does, that one leads again.
func (w *watcher) successor(answers, fenced []answered) (string, bool) {
	if best, ok := group.Successor(nil, w.standbys(fenced)); ok {
		return best.Member, true
	}
	primary, _ := split(w.primary.ID, answers)
	if primary.member.ID == "" || primary.err != nil || primary.status.Leads || primary.status.Received.Term < newest(fenced) {
		return "", false
	}
	end := primary.status.Received
	if best, ok := group.Successor(&end, w.standbys(fenced)); ok {
		return best.Member, true
	}
	return w.primary.ID, !w.primary.Leaving
}

// heldBy returns the end of the member's log among the answers, or the zero position.
func heldBy(id string, answers []answered) group.Position {
	for _, a := range answers {
		if a.member.ID == id {
			return a.status.Received
		}
	}
	return group.Position{}
}

// misled reports whether the primary that is to be replaced is not the last one: a
// member leads that it took for a replica, or one has led in a later term and can't
// be told from a replica now. Replicas would then acknowledge to an unknown primary.
func (w *watcher) misled(answers []answered) bool {
	for _, a := range answers {
		if a.err == nil && a.status.Leads {
			w.group.resume(a.member.ID)
			w.group.adopt(answers)
			return true
		}
	}
	return newest(answers) > w.group.seenTerm() && silent(answers) > 0
}

// standbys turns answers of fenced replicas into what the choice of a successor
// needs.
func (w *watcher) standbys(answers []answered) []group.Standby {
	lost := w.group.lost()
	var out []group.Standby
	for _, a := range answers {
		if a.err != nil && lost[a.member.ID] && w.group.departedFor(a) {
			continue // it has left: what it may have acknowledged is asked of Complete
		}
		out = append(out, group.Standby{
			Member: a.member.ID, Answered: a.err == nil, Fenced: a.err == nil, Received: a.status.Received,
			Leaving: a.member.Leaving || lost[a.member.ID], Complete: w.group.complete(a.status.Received),
		})
	}
	return out
}
