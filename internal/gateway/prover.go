package gateway

import (
	"context"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

// proof is a question to all members but the primary, whether it leads alone. Statements
// that need the answer at the same time share it.
type proof struct {
	started time.Time
	// done is closed when the others are set.
	done    chan struct{}
	primary string
	// ok means that the primary leads, and undisputed that nobody is known to replace it.
	ok, undisputed bool
}

// proofTimeout bounds that question. Members answer within a few statements' time, unless
// they are out of reach.
const proofTimeout = 150 * time.Millisecond

// prove makes sure that the member leads: that it held at or after the given time
// everything that had been acknowledged. A lease says so by itself. Without one the other
// members are asked.
func (g *Group) prove(ctx context.Context, id string, since time.Time) bool {
	if g.leased(id, g.now()) || g.ledSince(id, since) {
		return true
	}
	for ctx.Err() == nil {
		p := g.proofFor(id)
		select {
		case <-p.done:
		case <-ctx.Done():
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

// stands reports whether a write that the member has acknowledged is certainly kept. While
// this host holds a lease, nobody has set out to replace the member. Without one the other
// members are asked: a primary on the wrong side of a partition, with a replica that nobody
// could fence, acknowledges writes that the next primary lacks.
func (g *Group) stands(m *member) bool {
	now := g.now()
	if g.disowned(m) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*proofTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if g.keeps(m.ID, now) {
			return true
		}
		p := g.question(m.ID)
		select {
		case <-p.done:
		case <-ctx.Done():
			return false
		}
		if !p.started.Before(now) && p.primary == m.ID {
			return p.undisputed && !g.disowned(m)
		}
	}
	return false
}

// question returns the question that is under way, or a new one.
func (g *Group) question(id string) *proof {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proof == nil {
		g.proof = &proof{started: g.now(), done: make(chan struct{}), primary: id}
		go g.askFollowers(g.proof, g.leaderTerm)
	}
	return g.proof
}

// proofFor returns the question that is under way, or a new one. While the last one failed
// a moment ago that one stands, so that statements in a crowd ask members no more than need
// be.
func (g *Group) proofFor(id string) *proof {
	g.mu.Lock()
	failed, again := g.disproof, !g.now().Before(g.proveAt)
	g.mu.Unlock()
	if failed != nil && failed.primary == id && !again {
		return failed
	}
	return g.question(id)
}

// askFollowers asks all members but the primary who leads. A host that has not heard of a
// term yet asks the primary as well.
func (g *Group) askFollowers(p *proof, term group.Term) {
	var asked []Member
	var all []string
	for _, m := range g.list() {
		all = append(all, m.ID)
		if m.ID != p.primary || term == 0 {
			asked = append(asked, m)
		}
	}
	answers := g.orderAll(asked, Probe{}, proofTimeout)
	for _, a := range answers {
		if a.member.ID == p.primary && a.err == nil && a.status.Leads {
			term = a.status.Term
		}
	}
	said := toAnswers(answers)
	p.ok = leadership.Unchallenged(p.primary, term, all, said)
	p.undisputed = leadership.Undisputed(p.primary, term, said)
	g.mu.Lock()
	g.proof = nil
	known := g.disproof != nil
	if p.ok {
		g.proven, g.disproof, g.proofPause = *p, nil, 0
	} else {
		g.proofPause = min(max(2*g.proofPause, firstProofPause), longestProofPause)
		g.disproof, g.proveAt = p, g.now().Add(g.proofPause)
	}
	g.mu.Unlock()
	if !p.ok != known {
		g.log("leadership", "proven", p.ok, "member", p.primary, "term", term, "answers", describe(answers))
	}
	g.adopt(answers)
	close(p.done)
}

// firstProofPause and longestProofPause bound the pause after a question that proved nothing, which
// doubles: from a round trip within a region to half of the time in which a lost primary is
// found out.
const (
	firstProofPause   = 10 * time.Millisecond
	longestProofPause = 320 * time.Millisecond
)

func toAnswers(in []answered) []leadership.Answer {
	out := make([]leadership.Answer, len(in))
	for i, a := range in {
		out[i] = leadership.Answer{Member: a.member.ID, Asked: a.asked, Answered: a.err == nil,
			Leads: a.status.Leads, Term: a.status.Term, Fenced: a.status.Fenced}
	}
	return out
}
