package quota

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
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
	// fencingToken is the fencing fencingToken of the latest granter that this host knows of. The host accepts nothing from earlier
	// ones.
	fencingToken int64
	accounts     map[string]*localAccount
	// lastRequest is the ID of the last request, sent at requestedAt. pending is true while its response is awaited.
	// lastAnswered is the ID of the last request that was answered.
	lastRequest, lastAnswered uint64
	pending                   bool
	requestedAt               time.Time
	// activeAt is when the host's portions become active.
	activeAt time.Time
}

// localAccount is a host's state of one account.
type localAccount struct {
	bucket Bucket
	demand demand
	quota  account.Quota
	// waiting is the number of operations that wait for a token, and ready the number of tokens received for them.
	// returned is the number of tokens to return to the granter, of operations that have not run.
	waiting, ready, returned int
	// requestedAt is when the last request for the account was made.
	requestedAt time.Time
	// refusedUntil is the time until which the granter is not asked again after it had no token. retryAt is when it
	// expects to have one.
	refusedUntil, retryAt time.Time
}

// NewLimiter returns a limiter without tokens.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*localAccount{}} }

// FencingToken returns the fencing token of the latest granter that the host knows of.
func (l *Limiter) FencingToken() int64 { return l.fencingToken }

// Follow makes the host accept tokens only from the granter with the given fencing token, unless it knows of a later
// granter.
func (l *Limiter) Follow(token int64) { l.fencingToken = max(l.fencingToken, token) }

// Report returns what the host holds, and follows the granter that queries it. It returns false if the host knows of a
// later granter. A response that is in transit will be rejected.
func (l *Limiter) Report(token int64, now time.Time) ([]Holding, bool) {
	l.Follow(token)
	if l.fencingToken != token {
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

// Decision says whether an operation may begin.
type Decision uint8

// The decisions.
const (
	// Admitted means that the operation may begin. Its token is spent.
	Admitted Decision = iota
	// AskGranter means that the granter may have a token.
	AskGranter
	// Refused means that there is no token.
	Refused
)

// Begin counts a new operation of an account in the demand and takes a token for it. With Refused it also returns the
// time after which to retry.
func (l *Limiter) Begin(name string, q account.Quota, now time.Time) (Decision, time.Duration) {
	a := l.account(name, q, now)
	a.demand.record(now)
	return l.tryTake(name, a, now)
}

// tryTake takes a token if there is one. With Refused it also returns the time after which to retry.
func (l *Limiter) tryTake(name string, a *localAccount, now time.Time) (Decision, time.Duration) {
	if a.bucket.take(now, l.activeAt) {
		return Admitted, 0
	}
	if now.Before(a.refusedUntil) {
		return Refused, l.RetryAfter(name, now)
	}
	return AskGranter, 0
}

// RetryAfter returns the time after which an operation of the account may be retried.
func (l *Limiter) RetryAfter(name string, now time.Time) time.Duration {
	a := l.accounts[name]
	if a == nil {
		return 0
	}
	after := a.retryAt.Sub(now)
	if next, ok := a.bucket.nextTokenIn(now, l.activeAt); ok && (after <= 0 || next < after) {
		after = next
	}
	return max(0, after)
}

// ReturnToken returns the token of an operation that has certainly not run. The token goes back to the granter with the
// next request. If the host kept it, it might add to tokens that other hosts were granted since.
func (l *Limiter) ReturnToken(name string) {
	if a := l.accounts[name]; a != nil {
		a.returned++
	}
}

// AddWaiter counts an operation that waits for the granter's response. The account must have been passed to Begin.
func (l *Limiter) AddWaiter(name string) { l.accounts[name].waiting++ }

// RemoveWaiter ends the wait of an operation counted by AddWaiter and returns the decision on it. With AskGranter the
// operation must wait again for a token.
func (l *Limiter) RemoveWaiter(name string, now time.Time) (Decision, time.Duration) {
	a := l.accounts[name]
	a.waiting--
	if a.ready > 0 {
		a.ready--
		return Admitted, 0
	}
	return l.tryTake(name, a, now)
}

// Request is a host's request to the granter, for several accounts.
type Request struct {
	// ID identifies the request. IDs of a limiter increase, and only the response to the last request is accepted.
	ID uint64
	// LastAnswered is the ID of the last request that was answered.
	LastAnswered uint64
	FencingToken int64
	// Accounts may be empty. Such a request only shows that the host reaches the granter.
	Accounts []AccountRequest
}

// NextRequest returns the request to send to the granter now, or false if none is due.
func (l *Limiter) NextRequest(now time.Time) (Request, bool) {
	var out []AccountRequest
	holds := false
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		a.bucket.refill(now, l.activeAt)
		holds = holds || a.bucket.portion.Rate > 0
		if a.requestDue(now) {
			a.requestedAt = now
			out = append(out, a.request(name, now))
		}
	}
	if len(out) == 0 && (!holds || now.Sub(l.requestedAt) < keepaliveInterval) {
		return Request{}, false
	}
	l.lastRequest++
	l.pending, l.requestedAt = true, now
	return Request{l.lastRequest, l.lastAnswered, l.fencingToken, out}, true
}

// RequestDue reports whether a request for the account is due.
func (l *Limiter) RequestDue(name string, now time.Time) bool {
	a := l.accounts[name]
	return a != nil && a.requestDue(now)
}

// requestDue reports whether a request for the account is due.
func (a *localAccount) requestDue(now time.Time) bool {
	d, held, since := a.demand.value(now), a.bucket.portion, now.Sub(a.requestedAt)
	switch {
	case a.waiting > a.ready:
		return true
	case d >= prefetchMinRate && a.bucket.tokens < 1 && held.Cap >= minCap && !now.Before(a.refusedUntil):
		return since >= prefetchInterval
	case d < minRate && held.Rate == 0:
		return false
	case d < held.Rate/2 || d > 2*held.Rate:
		return since >= adaptInterval
	}
	return since >= refreshInterval
}

func (a *localAccount) request(name string, now time.Time) AccountRequest {
	d := a.demand.value(now)
	prefetch := 0.0
	if d >= prefetchMinRate {
		prefetch = max(0, min(a.bucket.portion.Cap, 1+d*prefetchDuration.Seconds())-a.bucket.tokens)
	}
	returned := a.returned
	a.returned = 0 // dropped if the request is lost, since the granter may have received it
	return AccountRequest{
		Account: name, Returned: returned, Quota: a.quota, HeldSerial: a.bucket.portion.Serial, Tokens: a.bucket.tokens, Demand: d,
		Waiting: a.waiting - a.ready, Prefetch: prefetch,
	}
}

// HandleResponse applies the response to a request. It returns false, and changes nothing, if the request is not the last
// one, if the response is later than ResponseTimeout, or if the host follows another granter.
func (l *Limiter) HandleResponse(id uint64, token int64, resp Response, now time.Time) bool {
	if !l.pending || id != l.lastRequest || token != l.fencingToken || now.Sub(l.requestedAt) > ResponseTimeout {
		return false
	}
	l.pending, l.lastAnswered = false, id
	activeAt := l.activeAt
	if resp.Suspended {
		activeAt = l.requestedAt.Add(activateAfter)
	}
	for _, g := range resp.Grants {
		a := l.accounts[g.Account]
		if a == nil {
			continue
		}
		a.ready = min(a.waiting, a.ready+g.Tokens)
		a.bucket.applyGrant(g, l.requestedAt, now, l.activeAt)
		a.refusedUntil, a.retryAt = time.Time{}, time.Time{}
		if g.RetryAfter > 0 {
			a.refusedUntil, a.retryAt = now.Add(min(g.RetryAfter, maxRefusalTTL)), now.Add(g.RetryAfter)
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

// Abandon records that no response to the request will be accepted.
func (l *Limiter) Abandon(id uint64) {
	if id == l.lastRequest {
		l.pending = false
	}
}

// RemoveIdle removes accounts without recent operations of which the host holds nothing.
func (l *Limiter) RemoveIdle(now time.Time) {
	maps.DeleteFunc(l.accounts, func(_ string, a *localAccount) bool {
		a.bucket.refill(now, l.activeAt)
		return a.waiting == 0 && a.bucket.portion.Serial == 0 && a.demand.value(now) < minRate/2
	})
}
