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

const (
	// granterLossTimeout is how long a granter may fail to respond before operations stop waiting for it.
	granterLossTimeout = 300 * time.Millisecond
	// unknownRetryAfter is the time after which to retry while nothing is known about the next token: the granter is
	// asked again after a pause of this length.
	unknownRetryAfter = 25 * time.Millisecond
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
	if l.mayBeServed(a, 0, now) {
		return Wait, 0
	}
	if after, known := l.expectedAfter(a, ahead+a.expected.Told, now); known && !now.Add(after).After(until) {
		return Wait, after
	}
	return Refused, l.refuse(a, ahead, now)
}

// mayBeServed reports whether an operation for which some reserve holders were asked may get a token from the granter or
// another holder.
func (l *Limiter) mayBeServed(a *localAccount, holdersAsked int, now time.Time) bool {
	granter := !now.Before(a.refusedUntil) && !l.granterLost(now)
	return granter || l.holdersMayServe(a, now) && holdersAsked < l.holders.MaxAsks()
}

// expectedAfter returns the time until the token after the given number of earlier ones is expected, or false if that is
// not known.
func (l *Limiter) expectedAfter(a *localAccount, earlier int, now time.Time) (time.Duration, bool) {
	after, known := a.expected.After(earlier, now)
	next, ok := a.bucket.nextTokenIn(now, l.activeAt)
	if !ok {
		return after, known
	}
	if rate := a.bucket.portion.Rate; rate > 0 {
		next += time.Duration(float64(earlier) / rate * float64(time.Second))
	}
	if !known || next < after {
		return next, true
	}
	return after, true
}

// refuse returns the time after which a refused operation is to be retried: when the token after those for the given
// number of waiting operations, and for all that were told a time before, is expected.
func (l *Limiter) refuse(a *localAccount, ahead int, now time.Time) time.Duration {
	after, known := l.expectedAfter(a, ahead+a.expected.Told, now)
	a.expected.Told++
	switch {
	case !known:
		return unknownRetryAfter
	case after > waiting.MaxRetryAfter:
		return a.spread.Next()
	}
	return max(after, waiting.MinRetryAfter)
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
		if l.mayBeServed(a, a.queue.Asked(ticket), now) {
			return Wait, l.nextDecision(a, now)
		}
		if after, known := l.expectedAfter(a, ahead, now); known && !now.Add(after).After(until) {
			return Wait, max(after, a.refusedUntil.Sub(now), waiting.MinRetryAfter)
		}
	}
	l.RemoveWaiter(name, ticket)
	return Refused, l.refuse(a, ahead, now)
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
