package quota

import (
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/reserve"
	"pearlatch/core/quota/waiting"
)

// Decision says whether an operation may begin.
type Decision uint8

// The decisions.
const (
	// Admitted means that the operation may begin. Its token is spent.
	Admitted Decision = iota
	// Wait means that the granter or a reserve holder may have a token, or that a token is expected in time.
	Wait
	// Refused means that there is no token.
	Refused
)

// Begin counts a new operation of an account in the demand and takes a token for it. With Wait the operation may wait,
// see AddWaiter; until is the time until which it can. With Refused it returns the time after which to retry.
func (l *Limiter) Begin(name string, q account.Quota, now, until time.Time) (Decision, time.Duration) {
	a := l.account(name, q, now)
	a.demand.Record(now)
	ahead := a.queue.Missing()
	if ahead == 0 && a.bucket.take(now, l.activeAt) {
		return Admitted, 0
	}
	if a.queue.Len() == 0 {
		a.refusals.Reset()
	}
	if l.granterMayServe(a, now) || l.holdersMayServe(a, now) {
		return Wait, 0
	}
	if after, known := a.expected.AfterTold(ahead, l.supply(a, now), now); known && !now.Add(after).After(until) {
		return Wait, after
	}
	return Refused, a.expected.Refuse(ahead, l.supply(a, now), now)
}

// granterMayServe reports whether the granter may have a token of the account.
func (l *Limiter) granterMayServe(a *localAccount, now time.Time) bool {
	return !now.Before(a.refusedUntil) && !l.failure.GranterLost(now)
}

// supply returns what the host's own portion of the account yields next.
func (l *Limiter) supply(a *localAccount, now time.Time) waiting.Supply {
	next, ok := a.bucket.nextTokenIn(now, l.activeAt)
	if !ok {
		return waiting.Supply{}
	}
	return waiting.Supply{Next: next, Rate: a.bucket.portion.Rate}
}

// AddWaiter counts an operation that waits for a token, after those that already wait. The account must have been passed
// to Begin. It returns the operation's ticket.
func (l *Limiter) AddWaiter(name string) uint64 {
	a := l.accounts[name]
	l.waiting[name] = a
	return a.queue.Push()
}

// Decide returns the decision on a waiting operation. Admitted and Refused end its wait. With Wait it returns the time
// after which to decide again if nothing happens before, or zero. With Refused it returns the time after which to retry.
func (l *Limiter) Decide(name string, ticket uint64, now, until time.Time) (Decision, time.Duration) {
	a := l.accounts[name]
	for a.queue.Missing() > 0 && a.bucket.take(now, l.activeAt) {
		a.queue.AddTokens(1)
	}
	if a.queue.Take(ticket) {
		l.endWait(name, a)
		return Admitted, 0
	}
	ahead := a.queue.Ahead(ticket)
	if now.Before(until) {
		if l.granterMayServe(a, now) || l.holdersMayServe(a, now) && a.queue.MayAsk(ticket, l.holders.MaxAsks(), l.holders.MaxTries()) {
			return Wait, l.nextDecision(a, now)
		}
		if l.holders.Awaits(name) {
			return Wait, 0
		}
		if a.expected.Holder != "" && a.expected.Due(now) {
			l.holders.Prefer(a.expected.Holder)
			a.expected.Clear()
			a.refusals.Retry()
			a.queue.AllowAsk(ticket)
			return Wait, waiting.MinRetryAfter
		}
		if after, known := a.expected.After(ahead, l.supply(a, now), now); known && !now.Add(after).After(until) {
			return Wait, max(after, a.refusedUntil.Sub(now), waiting.MinRetryAfter)
		}
	}
	l.RemoveWaiter(name, ticket)
	return Refused, a.expected.Refuse(ahead, l.supply(a, now), now)
}

// nextDecision returns the time until waiting operations are to be decided on again if nothing happens before, or zero.
func (l *Limiter) nextDecision(a *localAccount, now time.Time) time.Duration {
	if l.pending && !l.holdersNeeded(a, now) {
		return l.requestedAt.Add(reserve.HedgeDelay).Sub(now)
	}
	return max(0, a.refusedUntil.Sub(now))
}

// RemoveWaiter ends the wait of an operation that is not to begin.
func (l *Limiter) RemoveWaiter(name string, ticket uint64) {
	a := l.accounts[name]
	a.queue.Remove(ticket)
	l.endWait(name, a)
}

func (l *Limiter) endWait(name string, a *localAccount) {
	if a.queue.Len() == 0 {
		delete(l.waiting, name)
	}
}
