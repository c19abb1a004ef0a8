package gateway

import (
	"context"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

// primaryCheck asks the members whether the primary still leads. Statements that need the result at the same time
// share one check.
type primaryCheck struct {
	started time.Time
	// done is closed once the fields below are final.
	done    chan struct{}
	members []string
	answers []leadership.ProbeResult
	primary string
	// term is the term of the primary as far as it is known, or zero.
	term group.Term
	// passed is true if the members confirmed the primary in that term.
	passed bool
}

// primaryCheckTimeout bounds a primary check. Members answer within the time of a few statements unless they are
// unreachable.
const primaryCheckTimeout = 150 * time.Millisecond

// verifyPrimary reports whether the member is certainly the primary: it was the primary at or after the given time, so
// that its log held every write acknowledged before that time. A read lease is sufficient. Without one the other
// members are asked. It also returns false if a check of another member was in progress and failed.
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

// isKnownPrimary reports whether the member is known to be the primary since the given time without a new check.
func (g *Group) isKnownPrimary(id string, since time.Time) bool {
	return g.hasLease(id, g.now()) || g.wasPrimarySince(id, since)
}

// wait waits until the check is done. It returns false if ctx ended first.
func (p *primaryCheck) wait(ctx context.Context) bool {
	select {
	case <-p.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// sharedCheck returns the check in progress, which may be of another member, or starts one of the given member.
func (g *Group) sharedCheck(id string) *primaryCheck {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.check == nil {
		g.check = &primaryCheck{started: g.now(), done: make(chan struct{}), primary: id, term: g.primaryTermOf(id)}
		go g.runCheck(g.check)
	}
	return g.check
}

// primaryTermOf returns the known term of the member as primary, or zero. g.mu must be held.
func (g *Group) primaryTermOf(id string) group.Term {
	if g.primaryID != id {
		return 0
	}
	return g.primaryTerm
}

// checkWithBackoff returns the last failed check of the member until its backoff is over, and a shared check from
// then on. This bounds the load that many concurrent statements put on the members.
func (g *Group) checkWithBackoff(id string) *primaryCheck {
	g.mu.Lock()
	failed, due := g.failedCheck, g.checks.Due(g.now())
	g.mu.Unlock()
	if failed != nil && failed.primary == id && !due {
		return failed
	}
	return g.sharedCheck(id)
}

// runCheck probes the members and finishes the check. The primary itself is only probed if its term is unknown.
func (g *Group) runCheck(p *primaryCheck) {
	var probed []Member
	for _, m := range g.listMembers() {
		p.members = append(p.members, m.ID)
		if m.ID != p.primary || p.term == 0 {
			probed = append(probed, m)
		}
	}
	answers := g.controlAll(probed, Probe{}, primaryCheckTimeout)
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

// finishCheck records the outcome of a check. It reports whether that differs from the previous outcome.
func (g *Group) finishCheck(p *primaryCheck) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check = nil
	failing := g.failedCheck != nil
	if p.passed {
		g.passedCheck, g.failedCheck = *p, nil
		g.checks.Pass()
		g.primaryTerm = max(g.primaryTerm, p.term)
		g.noteOutageEnd()
	} else {
		g.unverifiedSince = earlierTime(g.unverifiedSince, p.started)
		g.failedCheck = p
		g.checks.Fail(g.now(), p.term, p.answers)
	}
	return p.passed == failing
}

// toProbeResults converts the answers for package leadership.
func toProbeResults(in []controlResult) []leadership.ProbeResult {
	out := make([]leadership.ProbeResult, len(in))
	for i, a := range in {
		out[i] = leadership.ProbeResult{Member: a.member.ID, Answered: a.err == nil, ProcessEnded: connRefused(a.err),
			Leads: a.status.IsPrimary, Term: a.status.Term, FenceTerm: a.status.Fenced, Received: a.status.Received}
	}
	return out
}
