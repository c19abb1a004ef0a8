package upstream

import (
	"fmt"
	"time"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// unavailableReason says what a request has waited for in vain.
func (p *pool) unavailableReason(w *connRequest) string {
	v := p.owner.view()
	name := p.owner.options.Group.Name
	switch {
	case !v.canSendToPrimary():
		return fmt.Sprintf("group %s has no primary (%s)", name, v.phase)
	case w.kind == statement.Write && !v.canConfirmWrites(time.Now(), p.owner.confirmationTTL()):
		return fmt.Sprintf("group %s cannot confirm writes: no majority of its members answers", name)
	}
	return fmt.Sprintf("group %s had no connection free within the deadline", name)
}

// admissionRefusal returns a refusal for a request that would certainly wait beyond its
// deadline, or nil. p.mu is held.
func (p *pool) admissionRefusal(w *connRequest, deadline time.Time) *statement.Refusal {
	if p.closed {
		return handoverRefusal()
	}
	v := p.owner.view()
	if since := p.owner.leaderlessFor(time.Now()); since > leaderlessTimeout && (w.kind == statement.Write || !v.canSendToPrimary()) {
		r := statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, p.unavailableReason(w))
		r.RetryAfter = leaderlessTimeout
		return r
	}
	ahead := p.queue.Ahead(w.request.Priority)
	if ahead == 0 || p.owner.options.Unsafe.NoRefusal {
		return nil
	}
	expected := p.holdTimes.ExpectedWait(ahead, p.sharedConns(w.kind))
	if expected+p.holdTimes.MeanHold() > time.Until(deadline)*admitNum/admitDen {
		return p.overloadRefusal(expected)
	}
	return nil
}

// A request is admitted if its expected end leaves this share of its deadline:
// the estimate is an average, and a statement that is canceled at its deadline
// has taken a member's time for nothing.
const (
	admitNum = 3
	admitDen = 5
)

// handoverRefusal is the refusal of a request that another host must take.
func handoverRefusal() *statement.Refusal {
	r := statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, "the host hands the group over")
	r.RetryElsewhere = true
	return r
}

// refuseLate refuses waiting requests that could not end in time any more, so that
// no member's time goes into them. p.mu is held.
func (p *pool) refuseLate(now time.Time) {
	if p.owner.options.Unsafe.NoRefusal {
		return
	}
	held := p.holdTimes.MeanHold()
	for {
		w := p.queue.Pick(func(w *connRequest) bool { return w.deadline.Sub(now) < held })
		if w == nil {
			return
		}
		w.Value.late = true
		w.Value.ready <- nil
	}
}

// sharedConns returns how many connections requests of a kind share.
func (p *pool) sharedConns(kind statement.Kind) int {
	if kind == statement.Write {
		return p.primaryCap
	}
	return p.replicaCap * max(1, len(p.members)-1)
}

func (p *pool) overloadRefusal(wait time.Duration) *statement.Refusal {
	r := statement.NewNotRunRefusal(postgres.CodeTooManyConnections,
		fmt.Sprintf("group %s is overloaded: expected wait %s", p.owner.options.Group.Name, wait.Round(time.Millisecond)))
	r.RetryAfter = max(wait, minRetryAfter)
	return r
}

// minRetryAfter is the shortest pause that callers are told to make.
const minRetryAfter = 10 * time.Millisecond
