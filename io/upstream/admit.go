package upstream

import (
	"fmt"
	"time"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// unavailableReason describes why a request got no connection before its
// deadline.
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

// admissionRefusal returns a refusal if the pool is closed, if the group has had
// no confirmed primary for too long, or if the request is not expected to end by
// its deadline. Otherwise it returns nil. p.mu must be held.
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

// A request is admitted if its expected wait and run time fit into admitNum /
// admitDen of the time left until its deadline. The rest is a margin: the estimate
// is an average, and the work that a member does for a statement that is later
// canceled at its deadline is wasted.
const (
	admitNum = 3
	admitDen = 5
)

// handoverRefusal returns the refusal of a request that must be sent to another
// host because this one hands the group over.
func handoverRefusal() *statement.Refusal {
	r := statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, "the host hands the group over")
	r.RetryElsewhere = true
	return r
}

// refuseLate refuses waiting requests whose remaining time is shorter than the
// mean time that a connection is held, so that no member works on them. p.mu must
// be held.
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

// sharedConns returns the number of connections that serve requests of the kind.
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

// minRetryAfter is the shortest retry-after time reported to callers.
const minRetryAfter = 10 * time.Millisecond
