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
	answers []leadership.Answer
	primary string
	// term is the one in which the primary was believed to lead, or zero.
	term group.Term
	// ok means that the primary led in that term.
	ok bool
}

// primaryCheckTimeout bounds that question. Members answer within a few statements' time, unless
// they are out of reach.
const primaryCheckTimeout = 150 * time.Millisecond

// prove makes sure that the member leads: that it held at or after the given time
// everything that had been acknowledged. A lease says so by itself. Without one the other
// members are asked.
func (g *Group) prove(ctx context.Context, id string, since time.Time) bool {
	if g.knownToLead(id, since) {
		return true
	}
	for ctx.Err() == nil {
		p := g.proofFor(id)
		if !p.wait(ctx) {
			return false
		}
		switch {
		case g.leased(id, g.now()):
			return true
		case !p.ok || !p.started.Before(since) && p.primary == id:
			return p.ok
		}
	}
	return false
}

// stands reports whether a write that the member has acknowledged in the term is certainly
// kept. While this host holds a lease, nobody has set out to replace the member.
// Without one the other members are asked: a primary on the wrong side of a partition, with a
// replica that nobody could fence, acknowledges writes that the next primary lacks.
func (g *Group) stands(id string, term group.Term) bool {
	now := g.now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*primaryCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if g.keeps(id, term, now) {
			return true
		}
		p := g.question(id)
		if !p.wait(ctx) {
			return false
		}
		if !p.started.Before(now) {
			return term > 0 && leadership.Undisputed(id, term, p.members, p.answers)
		}
	}
	return false
}

// knownToLead reports whether no question is needed for that.
func (g *Group) knownToLead(id string, since time.Time) bool {
	return g.leased(id, g.now()) || g.ledSince(id, since)
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

// question returns the question that is under way, or a new one.
func (g *Group) question(id string) *primaryCheck {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proof == nil {
		g.proof = &primaryCheck{started: g.now(), done: make(chan struct{}), primary: id, term: g.termOf(id)}
		go g.askAll(g.proof)
	}
	return g.proof
}

// termOf returns the term in which the member leads, as far as is known, or zero.
func (g *Group) termOf(id string) group.Term {
	if g.leader != id {
		return 0
	}
	return g.leaderTerm
}

// answered reports whether some of the others answered, and none disproved. A packet may have
// got lost, and the next question do.
func (p *primaryCheck) answered() bool {
	some := false
	for _, a := range p.answers {
		if a.Leads || a.Answered && a.Term > p.term {
			return false
		}
		some = some || a.Answered
	}
	return some
}

// proofFor returns the question that is under way, or a new one. While the last one failed
// a moment ago that one stands, so that statements in a crowd ask members no more than need
// be.
func (g *Group) proofFor(id string) *primaryCheck {
	g.mu.Lock()
	failed, again := g.disproof, !g.now().Before(g.proveAt)
	g.mu.Unlock()
	if failed != nil && failed.primary == id && !again {
		return failed
	}
	return g.question(id)
}

// askAll asks the members who leads. A host that knows the primary's term need not ask it.
func (g *Group) askAll(p *primaryCheck) {
	var asked []Member
	for _, m := range g.list() {
		p.members = append(p.members, m.ID)
		if m.ID != p.primary || p.term == 0 {
			asked = append(asked, m)
		}
	}
	answers := g.orderAll(asked, Probe{}, primaryCheckTimeout)
	for _, a := range answers {
		if a.member.ID == p.primary && a.err == nil && a.status.Leads {
			p.term = a.status.Term
		}
	}
	p.answers = toLeadershipAnswers(answers)
	p.ok = p.term > 0 && leadership.Unchallenged(p.primary, p.term, p.members, p.answers)
	if g.answeredProof(p) {
		g.log("leadership", "proven", p.ok, "member", p.primary, "term", p.term, "answers", formatResults(answers))
	}
	g.adopt(answers)
	close(p.done)
}

// answeredProof takes over the outcome of a question. It reports whether that differs from
// the last one.
func (g *Group) answeredProof(p *primaryCheck) (news bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proof = nil
	failing := g.disproof != nil
	if p.ok {
		g.proven, g.disproof, g.proofPause = *p, nil, 0
		g.leaderTerm = max(g.leaderTerm, p.term)
		g.primaryBack()
	} else {
		g.unprovenSince = earlierTime(g.unprovenSince, p.started)
		g.proofPause = min(max(2*g.proofPause, minCheckBackoff), maxCheckBackoff)
		if p.answered() {
			g.proofPause = minCheckBackoff
		}
		g.disproof, g.proveAt = p, g.now().Add(g.proofPause)
	}
	return p.ok == failing
}

// minCheckBackoff and maxCheckBackoff bound the pause after a question that proved nothing, which
// doubles: from a round trip within a region to half of the time in which a lost primary is
// found out.
const (
	minCheckBackoff = 10 * time.Millisecond
	maxCheckBackoff = 320 * time.Millisecond
)

func toLeadershipAnswers(in []controlResult) []leadership.Answer {
	out := make([]leadership.Answer, len(in))
	for i, a := range in {
		out[i] = leadership.Answer{Member: a.member.ID, Answered: a.err == nil, Ended: connRefused(a.err),
			Leads: a.status.Leads, Term: a.status.Term, Fenced: a.status.Fenced}
	}
	return out
}
