package gateway

import (
	"context"

	"pearlatch/core/group"
	"pearlatch/internal/pause"
)

// handOver replaces a leaving primary while it goes on serving: all replicas but
// the successor are fenced, so that every write from then on is acknowledged by
// the successor.
func (w *watcher) handOver(ctx context.Context, primary answered, replicas []answered) {
	started := w.host.now()
	best, ok := heir(replicas)
	if !ok {
		w.log("no_heir", "answers", describe(replicas))
		return
	}
	term := newest(replicas) + 1
	var others []Member
	for _, r := range replicas {
		if r.member.ID != best.ID {
			others = append(others, r.member)
		}
	}
	fenced := w.group.orderAll(others, Fence{Term: term}, orderTimeout)
	ready := w.receives(best, primary.status.Received) && w.caughtUp(ctx, best, nil, fenced)
	if !ready && !w.demoted(ctx, term, best, fenced) {
		w.log("heir_behind", "member", best.ID, "answers", describe(fenced))
		w.group.orderAll(others, Release{}, orderTimeout)
		return
	}
	if !w.recall(ctx, true) {
		w.group.orderAll(others, Release{}, orderTimeout)
		return
	}
	w.log("successor", "member", best.ID, "term", term, "planned", true)
	if !w.promote(ctx, best.ID, choice{listed: started, held: heldBy(best.ID, replicas)}) {
		w.group.orderAll(others, Release{}, orderTimeout)
	}
}

// heir returns the replica that takes over from a leaving primary.
func heir(replicas []answered) (Member, bool) {
	var best answered
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

// receives reports whether the heir has received what the primary held a moment ago. A
// deaf heir would lack what a replica acknowledges that comes back unfenced.
func (w *watcher) receives(heir Member, position group.Position) bool {
	s, err := w.group.command(heir, Probe{}, orderTimeout)
	return err == nil && s.Received.Compare(position) >= 0
}

// caughtUpRounds bounds the wait for the heir to receive what others had.
const caughtUpRounds = 10

// caughtUp reports whether the heir lacks nothing that fenced replicas, or a demoted
// primary, hold.
func (w *watcher) caughtUp(ctx context.Context, heir Member, end *group.Position, fenced []answered) bool {
	for range caughtUpRounds {
		s, err := w.group.command(heir, Probe{}, orderTimeout)
		if err != nil {
			return false
		}
		all := append(w.standbys(fenced), group.Standby{
			Member: heir.ID, Answered: true, Received: s.Received, Complete: w.group.complete(s.Received),
		})
		best, ok := group.Successor(end, all)
		if ok && best.Member == heir.ID {
			return true
		}
		if !pause.For(ctx, leadPoll) {
			return false
		}
	}
	return false
}

// demoted makes a leaving primary a replica where a replica that doesn't answer leaves
// open what was acknowledged, and reports whether the heir holds all that it held.
// Otherwise the primary is to lead again.
func (w *watcher) demoted(ctx context.Context, term group.Term, heir Member, fenced []answered) bool {
	if silent(fenced) == 0 {
		return false
	}
	s, err := w.group.command(w.primary, Demote{Term: term}, orderTimeout)
	if err != nil || s.Leads {
		return false
	}
	w.log("primary_demoted", "member", w.primary.ID, "position", s.Received)
	if w.caughtUp(ctx, heir, &s.Received, fenced) {
		return true
	}
	w.promote(ctx, w.primary.ID, choice{})
	return false
}
