package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/demand"
	"pearlatch/core/quota/reserve"
	"pearlatch/core/quota/waiting"
)

const (
	// keepaliveInterval is the time between two requests of a host that holds portions. It is short enough that portions
	// stay suspended when one response is lost.
	keepaliveInterval = 500 * time.Millisecond
	// refreshInterval is the time between two renewals of a portion. adaptInterval replaces it when the demand is less
	// than half or more than twice the portion's rate.
	refreshInterval = 5 * time.Second
	adaptInterval   = time.Second
	// prefetchMinRate is the demand, in operations per second, from which a host prefetches tokens. It requests tokens for
	// prefetchDuration of its demand, at most once per prefetchInterval. Below prefetchMinRate each operation requests
	// its own token.
	prefetchMinRate  = 2.0
	prefetchDuration = 400 * time.Millisecond
	prefetchInterval = 50 * time.Millisecond
	// maxRefusalTTL bounds how long a host relies on the granter's reply that there is no token, since portions change
	// and other hosts return tokens meanwhile.
	maxRefusalTTL = 150 * time.Millisecond
)

// Limiter decides on one host which operations may begin, for the accounts that share a granter. It holds the host's
// tokens. Use NewLimiter. It is not safe for concurrent use.
type Limiter struct {
	// fencingToken is that of the latest granter that this host knows of. The host accepts nothing from earlier ones.
	fencingToken int64
	accounts     map[string]*localAccount
	// lastRequest is the ID of the last request, sent at requestedAt. pending is true while its response is awaited.
	// lastAnswered is the ID of the last request that was answered.
	lastRequest, lastAnswered uint64
	pending                   bool
	requestedAt               time.Time
	// activeAt is when the host's portions become active.
	activeAt time.Time
	failure  reserve.Failure
	// partial is true if the granter did not know what all hosts hold when it last responded.
	partial bool
	// waiting holds the accounts with waiting operations, and reserved those of which the host holds reserves.
	waiting  map[string]*localAccount
	reserved map[string]bool
	// keepalive is the time between two keepalives while the host holds reserves.
	keepalive time.Duration
	holders   reserve.Client
}

// localAccount is a host's state of one account.
type localAccount struct {
	bucket Bucket
	demand demand.Average
	quota  account.Quota
	// queue holds the operations that wait for a token. returned is the number of tokens of operations that have not run,
	// which are to be returned to the granter.
	queue    waiting.Queue
	returned int
	// requestedAt is when the last request for the account was made.
	requestedAt time.Time
	// refusedUntil is the time until which the granter is not asked again after it had no token. expected says when the
	// granter or a reserve holder expects to have one.
	refusedUntil time.Time
	expected     waiting.Expectation
	// unserved is true if the granter had too few tokens while it did not know what all hosts hold.
	unserved bool
	// reserve is the fraction of the quota that the host wants to hold for the callers of all hosts. given holds what
	// other hosts were told about the tokens that this host lacked.
	reserve float64
	given   waiting.Schedule
	// refusals are those of reserve holders.
	refusals reserve.Refusals
}

// NewLimiter returns a limiter without tokens.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[string]*localAccount{}, waiting: map[string]*localAccount{}, reserved: map[string]bool{}}
}

// FencingToken returns the fencing token of the latest granter that the host knows of.
func (l *Limiter) FencingToken() int64 { return l.fencingToken }

// Follow makes the host accept tokens only from the granter with the given fencing token, unless it knows of a later
// granter.
func (l *Limiter) Follow(fencingToken int64) { l.fencingToken = max(l.fencingToken, fencingToken) }

// Report returns what the host holds, and makes it a follower of the granter with the given fencing token, which queries
// it. It returns false if the host knows of a later granter. A response that is in transit will be rejected.
func (l *Limiter) Report(fencingToken int64, now time.Time) ([]Holding, bool) {
	l.Follow(fencingToken)
	if l.fencingToken != fencingToken {
		return nil, false
	}
	l.pending = false
	var out []Holding
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		b := &l.accounts[name].bucket
		if b.refill(now, l.activeAt); b.portion.Serial != 0 {
			out = append(out, Holding{name, b.portion, b.expiresAt.Sub(now)})
		}
	}
	return out, true
}

// account returns the state of an account, with the given quota applied. It creates the state on first use.
func (l *Limiter) account(name string, q account.Quota, now time.Time) *localAccount {
	a := l.accounts[name]
	if a == nil {
		a = &localAccount{quota: q}
		l.accounts[name] = a
	}
	if a.quota != q {
		a.bucket.scaleDown(a.quota, q, now, l.activeAt)
		a.quota = q
	}
	return a
}

// ReturnToken returns the token of an operation that has certainly not run. The token goes back to the granter with the
// next request. If the host kept it, it would come on top of tokens that other hosts were granted since.
func (l *Limiter) ReturnToken(name string) {
	if a := l.accounts[name]; a != nil {
		a.returned++
	}
}

// NextRequest returns the request to send to the granter now, or false if none is due.
func (l *Limiter) NextRequest(now time.Time) (Request, bool) {
	var out []AccountRequest
	// A granter that stopped responding is tried again also without portions, since operations wait no longer for it.
	holds := !l.failure.Since().IsZero() && len(l.accounts) > 0
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		a.bucket.refill(now, l.activeAt)
		holds = holds || a.bucket.portion.Rate > 0
		if l.requestDue(a, now) {
			a.requestedAt = now
			out = append(out, a.request(name, now))
		}
	}
	interval := cmp.Or(l.reserveKeepalive(), keepaliveInterval)
	if len(out) == 0 && (!holds || now.Sub(l.requestedAt) < interval) {
		return Request{}, false
	}
	l.lastRequest++
	l.pending, l.requestedAt = true, now
	return Request{l.lastRequest, l.lastAnswered, l.fencingToken, l.reserveKeepalive(), out}, true
}

// RequestDue reports whether a request for the account is due.
func (l *Limiter) RequestDue(name string, now time.Time) bool {
	a := l.accounts[name]
	return a != nil && l.requestDue(a, now)
}

// requestDue reports whether a request for the account is due.
func (l *Limiter) requestDue(a *localAccount, now time.Time) bool {
	d, held, since := a.demand.Value(now), a.bucket.portion, now.Sub(a.requestedAt)
	switch {
	case a.queue.Missing() > 0 && !now.Before(a.refusedUntil):
		return true
	case d >= prefetchMinRate && a.bucket.tokens < 1 && held.Cap >= minCap && !now.Before(a.refusedUntil):
		return since >= prefetchInterval
	case a.reserve > 0 && held.Rate > 0 && a.bucket.tokens < held.Cap/2:
		return since >= ReserveKeepaliveInterval
	case a.reserve > 0 && held.Rate == 0 && (held.Serial == 0 || l.partial):
		return since >= adaptInterval
	case a.reserve > 0:
		return since >= refreshInterval
	case d < minRate && held.Rate == 0:
		return false
	case d < held.Rate/2 || d > 2*held.Rate:
		return since >= adaptInterval
	}
	return since >= refreshInterval
}

func (a *localAccount) request(name string, now time.Time) AccountRequest {
	d := a.demand.Value(now)
	prefetch := 0.0
	switch {
	case a.reserve > 0:
		prefetch = max(0, a.bucket.portion.Cap-a.bucket.tokens)
	case d >= prefetchMinRate:
		prefetch = max(0, min(a.bucket.portion.Cap, 1+d*prefetchDuration.Seconds())-a.bucket.tokens)
	}
	returned := a.returned
	a.returned = 0 // dropped if the request is lost, since the granter may have received it
	return AccountRequest{
		Account: name, Returned: returned, Quota: a.quota, HeldSerial: a.bucket.portion.Serial, Tokens: a.bucket.tokens, Demand: d,
		Waiting: a.queue.Missing(), Prefetch: prefetch, Reserve: a.reserve,
	}
}

// HandleResponse applies the response to a request. It returns false, and changes nothing, if the request is not the last
// one, if the response is later than ResponseTimeout, or if the host follows another granter.
func (l *Limiter) HandleResponse(id uint64, fencingToken int64, resp Response, now time.Time) bool {
	if !l.pending || id != l.lastRequest || fencingToken != l.fencingToken || now.Sub(l.requestedAt) > ResponseTimeout {
		return false
	}
	l.failure.Clear()
	l.pending, l.lastAnswered, l.partial = false, id, resp.Partial || !resp.Suspended
	activeAt := l.activeAt
	if resp.Suspended {
		activeAt = l.requestedAt.Add(cmp.Or(resp.ActivateAfter, activateAfter))
	}
	for _, g := range resp.Grants {
		a := l.accounts[g.Account]
		if a == nil {
			continue
		}
		a.queue.AddTokens(g.Tokens)
		a.bucket.applyGrant(g, l.requestedAt, now, l.activeAt)
		a.expected.Clear()
		a.refusedUntil, a.unserved = time.Time{}, g.RetryAfter > 0 && l.partial
		if g.RetryAfter > 0 {
			a.refusedUntil = now.Add(min(g.RetryAfter, maxRefusalTTL))
			a.expected.Expect(g.RetryAfter, g.Interval, "", now)
		}
	}
	if activeAt.After(l.activeAt) {
		for _, a := range l.accounts {
			a.bucket.refill(now, l.activeAt) // keeps the tokens yielded until now
		}
		l.activeAt = activeAt
	}
	return true
}

// Abandon records that the granter did not respond to the request or declined it. No response to it will be accepted.
func (l *Limiter) Abandon(id uint64, now time.Time) {
	if id == l.lastRequest {
		l.pending = false
		l.RecordNoGranter(now)
	}
}

// RemoveIdle removes accounts without recent operations of which the host holds nothing.
func (l *Limiter) RemoveIdle(now time.Time) {
	maps.DeleteFunc(l.accounts, func(_ string, a *localAccount) bool {
		a.bucket.refill(now, l.activeAt)
		return a.reserve == 0 && a.queue.Len() == 0 && a.bucket.portion.Serial == 0 && a.demand.Value(now) < minRate/2
	})
}
