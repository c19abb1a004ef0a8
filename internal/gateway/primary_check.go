package gateway

import (
	"context"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

// primaryCheck is a question to all members who leads. Statements that need the answer at the same
// time share it.
type primaryCheck struct {
	started time.Time
	// done is closed when the others are set.
	done    chan struct{}
	members []string
	answers []leadership.ProbeResult
	primary string
	// term is the one in which the primary was believed to lead, or zero.
	term group.Term
	// passed means that the primary led in that term.
	passed bool
}

// primaryCheckTimeout bounds that question. Members answer within a few statements' time, unless
// they are out of reach.
const primaryCheckTimeout = 150 * time.Millisecond

// verifyPrimary makes sure that the member leads: that it held at or after the given time
// everything that had been acknowledged. A lease says so by itself. Without one the other
// members are asked.
func (g *Group) verifyPrimary(ctx context.Context, id string, since time.Time) bool {
	if g.isKnownPrimary(id, since) {
		return true
	}
	for ctx.Err() == nil {
		p := g.checkWithBackoff(id)
		if !p.wait(ctx) {
			return false
		}
		switch {
		case g.hasLease(id, g.now()):
			return true
		case !p.passed || !p.started.Before(since) && p.primary == id:
			return p.passed
		}
	}
	return false
}

// confirmWrite reports whether a write that the member has acknowledged in the term is certainly
// kept. While this host holds a lease, nobody has set out to replace the member.
// Without one the other members are asked: a primary on the wrong side of a partition, with a
// replica that nobody could fence, acknowledges writes that the next primary lacks.
func (g *Group) confirmWrite(id string, term group.Term) bool {
	now := g.now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*primaryCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if g.leaseCoversWrites(id, term, now) {
			return true
		}
		p := g.sharedCheck(id)
		if !p.wait(ctx) {
			return false
		}
		if !p.started.Before(now) {
			return term > 0 && leadership.WriteConfirmed(id, term, p.members, p.answers)
		}
	}
	return false
}

// isKnownPrimary reports whether no question is needed for that.
func (g *Group) isKnownPrimary(id string, since time.Time) bool {
	return g.hasLease(id, g.now()) || g.wasPrimarySince(id, since)
}

// wait waits for the answers and returns false when ctx ended.
func (p *primaryCheck) wait(ctx context.Context) bool {
	select {
	case <-p.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// sharedCheck returns the question that is under way, or a new one.
func (g *Group) sharedCheck(id string) *primaryCheck {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.check == nil {
		g.check = &primaryCheck{started: g.now(), done: make(chan struct{}), primary: id, term: g.primaryTermOf(id)}
		go g.runCheck(g.check)
	}
	return g.check
}

// primaryTermOf returns the term in which the member leads, as far as is known, or zero.
func (g *Group) primaryTermOf(id string) group.Term {
	if g.primaryID != id {
		return 0
	}
	return g.primaryTerm
}

// unrefuted reports whether some of the others answered, and none disproved. A packet may have
// got lost, and the next question do.
func (p *primaryCheck) unrefuted() bool {
	some := false
	for _, a := range p.answers {
		if a.Leads || a.Answered && a.Term > p.term {
			return false
		}
		some = some || a.Answered
	}
	return some
}

// checkWithBackoff returns the question that is under way, or a new one. While the last one failed
// a moment ago that one stands, so that statements in a crowd ask members no more than need
// be.
func (g *Group) checkWithBackoff(id string) *primaryCheck {
	g.mu.Lock()
	failed, again := g.failedCheck, !g.now().Before(g.nextCheckAt)
	g.mu.Unlock()
	if failed != nil && failed.primary == id && !again {
		return failed
	}
	return g.sharedCheck(id)
}

// runCheck asks the members who leads. A host that knows the primary's term need not ask it.
func (g *Group) runCheck(p *primaryCheck) {
	var asked []Member
	for _, m := range g.listMembers() {
		p.members = append(p.members, m.ID)
		if m.ID != p.primary || p.term == 0 {
			asked = append(asked, m)
		}
	}
	answers := g.controlAll(asked, Probe{}, primaryCheckTimeout)
	for _, a := range answers {
		if a.member.ID == p.primary && a.err == nil && a.status.IsPrimary {
			p.term = a.status.Term
		}
	}
	p.answers = toProbeResults(answers)
	p.passed = p.term > 0 && leadership.PrimaryConfirmed(p.primary, p.term, p.members, p.answers)
	if g.finishCheck(p) {
		g.log("leadership", "proven", p.passed, "member", p.primary, "term", p.term, "answers", formatResults(answers))
	}
	g.adoptPrimary(answers)
	close(p.done)
}

// finishCheck takes over the outcome of a question. It reports whether that differs from
// the last one.
func (g *Group) finishCheck(p *primaryCheck) (news bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check = nil
	failing := g.failedCheck != nil
	if p.passed {
		g.passedCheck, g.failedCheck, g.checkBackoff = *p, nil, 0
		g.primaryTerm = max(g.primaryTerm, p.term)
		g.noteOutageEnd()
	} else {
		g.unverifiedSince = earlierTime(g.unverifiedSince, p.started)
		g.checkBackoff = min(max(2*g.checkBackoff, minCheckBackoff), maxCheckBackoff)
		if p.unrefuted() {
			g.checkBackoff = minCheckBackoff
		}
		g.failedCheck, g.nextCheckAt = p, g.now().Add(g.checkBackoff)
	}
	return p.passed == failing
}

// minCheckBackoff and maxCheckBackoff bound the pause after a question that proved nothing, which
// doubles: from a round trip within a region to half of the time in which a lost primary is
// found out.
const (
	minCheckBackoff = 10 * time.Millisecond
	maxCheckBackoff = 320 * time.Millisecond
)

func toProbeResults(in []controlResult) []leadership.ProbeResult {
	out := make([]leadership.ProbeResult, len(in))
	for i, a := range in {
		out[i] = leadership.ProbeResult{Member: a.member.ID, Answered: a.err == nil, ProcessEnded: connRefused(a.err),
			Leads: a.status.IsPrimary, Term: a.status.Term, FenceTerm: a.status.Fenced}
	}
	return out
}
