package upstream

import (
	"fmt"
	"time"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// whyNot says what a request has waited for in vain.
func (p *pool) whyNot(w *want) string {
	v := p.owner.view()
	name := p.owner.options.Group.Name
	switch {
	case !v.leads():
		return fmt.Sprintf("group %s has no primary (%s)", name, v.phase)
	case w.kind == statement.Write && !v.confirmable(time.Now(), p.owner.confirmPatience()):
		return fmt.Sprintf("group %s cannot confirm writes: no majority of its members answers", name)
	}
	return fmt.Sprintf("group %s had no connection free within the deadline", name)
}

// refuse returns a refusal for a request that would certainly wait beyond its
// deadline, or nil. p.mu is held.
func (p *pool) refuse(w *want, deadline time.Time) *statement.Refusal {
	if p.closed {
		return handedOver()
	}
	v := p.owner.view()
	if since := p.owner.leaderlessFor(time.Now()); since > holdLimit && (w.kind == statement.Write || !v.leads()) {
		r := statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, p.whyNot(w))
		r.RetryAfter = holdLimit
		return r
	}
	ahead := p.queue.Ahead(w.request.Priority)
	if ahead == 0 || p.owner.options.Unsafe.NoRefusal {
		return nil
	}
	expected := p.held.ExpectedWait(ahead, p.sharedBy(w.kind))
	if expected+p.held.MeanHold() > time.Until(deadline)*admitNum/admitDen {
		return p.tooMany(expected)
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

// handedOver is the refusal of a request that another host must take.
func handedOver() *statement.Refusal {
	r := statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, "the host hands the group over")
	r.RetryElsewhere = true
	return r
}

// expire refuses waiting requests that could not end in time any more, so that
// no member's time goes into them. p.mu is held.
func (p *pool) expire(now time.Time) {
	if p.owner.options.Unsafe.NoRefusal {
		return
	}
	held := p.held.MeanHold()
	for {
		w := p.queue.Pick(func(w *want) bool { return w.deadline.Sub(now) < held })
		if w == nil {
			return
		}
		w.Value.late = true
		w.Value.ready <- nil
	}
}

// sharedBy returns how many connections requests of a kind share.
func (p *pool) sharedBy(kind statement.Kind) int {
	if kind == statement.Write {
		return p.primaryCap
	}
	return p.replicaCap * max(1, len(p.members)-1)
}

func (p *pool) tooMany(wait time.Duration) *statement.Refusal {
	r := statement.NewNotRunRefusal(postgres.CodeTooManyConnections,
		fmt.Sprintf("group %s is overloaded: expected wait %s", p.owner.options.Group.Name, wait.Round(time.Millisecond)))
	r.RetryAfter = max(wait, minRetryAfter)
	return r
}

// minRetryAfter is the shortest pause that callers are told to make.
const minRetryAfter = 10 * time.Millisecond
