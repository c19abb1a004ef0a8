package quota

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
)

const (
	// keepaliveInterval is the pause between two questions of a host that holds portions: they sleep on though one answer
	// is lost.
	keepaliveInterval = 500 * time.Millisecond
	// refreshInterval is how often a portion is asked for anew, and adaptPause how soon after that if demand has changed
	// by half.
	refreshInterval = 5 * time.Second
	adaptInterval   = time.Second
	// prefetchMinRate is from how many operations per second on a host asks for tokens ahead, for aheadTime of its callers,
	// and aheadPause is the pause between two such questions. Below it each operation asks for its own.
	prefetchMinRate  = 2.0
	prefetchDuration = 400 * time.Millisecond
	prefetchInterval = 50 * time.Millisecond
	// maxRefusalTTL is how long a host takes the granter's word that there is no token: portions change meanwhile,
	// and hosts give some back.
	maxRefusalTTL = 150 * time.Millisecond
)

// Limiter holds a host's tokens of the accounts that have the same granter. Use NewWallet. It is not safe for
// concurrent use.
type Limiter struct {
	// token is the fencing token of the newest granter that this host has heard of. It takes nothing from
	// those before.
	token    int64
	accounts map[string]*localAccount
	// lastRequest is the ID of the last inquiry, at askedAt. Its answer is waited for while waiting is true. lastAnswered is that
	// of the last one that was answered.
	lastRequest, lastAnswered uint64
	pending                   bool
	requestedAt               time.Time
	// activeAt is when the portions wake.
	activeAt time.Time
}

// localAccount is what a host holds of one account.
type localAccount struct {
	bucket Bucket
	demand demand
	quota  account.Quota
	// waiting counts operations that wait for a token, and ready how many of them have got one. returned counts tokens of
	// operations that have not run, which the granter is to have returned.
	waiting, ready, returned int
	// requestedAt is when the account was last asked about.
	requestedAt time.Time
	// refusedUntil is until when the granter is not asked again after it had no more, and retryAt when there may
	// be more, as it said.
	refusedUntil, retryAt time.Time
}

// NewLimiter returns an empty wallet.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*localAccount{}} }

// Token returns the fencing token of the newest granter that the host has heard of.
func (w *Limiter) Token() int64 { return w.token }

// Follow makes a granter the one that the host takes tokens from, unless it knows of a later one.
func (w *Limiter) Follow(token int64) { w.token = max(w.token, token) }

// Report returns what the host holds, and follows the granter that asks. It returns false if it knows of a later
// one. An answer that is under way is not taken any more.
func (w *Limiter) Report(token int64, now time.Time) ([]Holding, bool) {
	w.Follow(token)
	if w.token != token {
		return nil, false
	}
	w.pending = false
	var out []Holding
	for _, name := range slices.Sorted(maps.Keys(w.accounts)) {
		b := &w.accounts[name].bucket
		if b.refill(now, w.activeAt); b.portion.Serial != 0 {
			out = append(out, Holding{name, b.portion, b.expiresAt.Sub(now)})
		}
	}
	return out, true
}

func (w *Limiter) account(name string, q account.Quota, now time.Time) *localAccount {
	p := w.accounts[name]
	if p == nil {
		p = &localAccount{quota: q}
		w.accounts[name] = p
	}
	if p.quota != q {
		p.bucket.scaleDown(p.quota, q, now, w.activeAt)
		p.quota = q
	}
	return p
}

// Decision says whether an operation may begin.
type Decision uint8

// The verdicts.
const (
	// Admitted operations may begin. Their token is spent.
	Admitted Decision = iota
	// AskGranter means that the granter may have a token.
	AskGranter
	// Refused means that there is none.
	Refused
)

// Begin takes a token for an operation of an account, which comes for the first time. After a refusal it returns
// when to come back.
func (w *Limiter) Begin(name string, q account.Quota, now time.Time) (Decision, time.Duration) {
	p := w.account(name, q, now)
	p.demand.record(now)
	return w.tryTake(name, p, now)
}

// tryTake looks for a token.
func (w *Limiter) tryTake(name string, p *localAccount, now time.Time) (Decision, time.Duration) {
	if p.bucket.take(now, w.activeAt) {
		return Admitted, 0
	}
	if now.Before(p.refusedUntil) {
		return Refused, w.RetryAfter(name, now)
	}
	return AskGranter, 0
}

// RetryAfter returns when an operation of the account may come back.
func (w *Limiter) RetryAfter(name string, now time.Time) time.Duration {
	p := w.accounts[name]
	if p == nil {
		return 0
	}
	after := p.retryAt.Sub(now)
	if next, ok := p.bucket.nextTokenIn(now, w.activeAt); ok && (after <= 0 || next < after) {
		after = next
	}
	return max(0, after)
}

// ReturnToken gives the token of an operation back that has certainly not run. It goes to the granter with the next
// question: kept here, it might come on top of what others were given since.
func (w *Limiter) ReturnToken(name string) {
	if p := w.accounts[name]; p != nil {
		p.returned++
	}
}

// AddWaiter counts an operation that waits for the granter's answer.
func (w *Limiter) AddWaiter(name string) { w.accounts[name].waiting++ }

// RemoveWaiter returns what became of an operation that has waited: it was admitted, refused, or is to ask again.
func (w *Limiter) RemoveWaiter(name string, now time.Time) (Decision, time.Duration) {
	p := w.accounts[name]
	p.waiting--
	if p.ready > 0 {
		p.ready--
		return Admitted, 0
	}
	return w.tryTake(name, p, now)
}

// Request is what a host asks the granter at once.
type Request struct {
	// ID tells the inquiries of a wallet apart, and rises. Only the answer to the last one is taken.
	ID uint64
	// LastAnswered is the ID of the last one that was answered.
	LastAnswered uint64
	Token        int64
	// Accounts may be empty: the host then tells that it reaches the granter.
	Accounts []AccountRequest
}

// NextRequest returns what to ask the granter now, or false if there is nothing to ask.
func (w *Limiter) NextRequest(now time.Time) (Request, bool) {
	var out []AccountRequest
	holds := false
	for _, name := range slices.Sorted(maps.Keys(w.accounts)) {
		p := w.accounts[name]
		p.bucket.refill(now, w.activeAt)
		holds = holds || p.bucket.portion.Rate > 0
		if p.requestDue(now) {
			p.requestedAt = now
			out = append(out, p.request(name, now))
		}
	}
	if len(out) == 0 && (!holds || now.Sub(w.requestedAt) < keepaliveInterval) {
		return Request{}, false
	}
	w.lastRequest++
	w.pending, w.requestedAt = true, now
	return Request{w.lastRequest, w.lastAnswered, w.token, out}, true
}

// RequestDue reports whether the granter is to be asked about the account.
func (w *Limiter) RequestDue(name string, now time.Time) bool {
	p := w.accounts[name]
	return p != nil && p.requestDue(now)
}

// requestDue reports whether the granter is to be asked about the account.
func (p *localAccount) requestDue(now time.Time) bool {
	d, held, since := p.demand.value(now), p.bucket.portion, now.Sub(p.requestedAt)
	switch {
	case p.waiting > p.ready:
		return true
	case d >= prefetchMinRate && p.bucket.tokens < 1 && held.Cap >= minCap && !now.Before(p.refusedUntil):
		return since >= prefetchInterval
	case d < minRate && held.Rate == 0:
		return false
	case d < held.Rate/2 || d > 2*held.Rate:
		return since >= adaptInterval
	}
	return since >= refreshInterval
}

func (p *localAccount) request(name string, now time.Time) AccountRequest {
	d := p.demand.value(now)
	ahead := 0.0
	if d >= prefetchMinRate {
		ahead = max(0, min(p.bucket.portion.Cap, 1+d*prefetchDuration.Seconds())-p.bucket.tokens)
	}
	back := p.returned
	p.returned = 0 // a question that gets lost takes them along, since it may have been answered
	return AccountRequest{
		Account: name, Returned: back, Quota: p.quota, HeldSerial: p.bucket.portion.Serial, Tokens: p.bucket.tokens, Demand: d,
		Waiting: p.waiting - p.ready, Prefetch: ahead,
	}
}

// HandleResponse takes over the answer to an inquiry. It returns false if it is not the answer to the last one, late, or of
// a granter that has a successor.
func (w *Limiter) HandleResponse(id uint64, token int64, a Response, now time.Time) bool {
	if !w.pending || id != w.lastRequest || token != w.token || now.Sub(w.requestedAt) > ResponseTimeout {
		return false
	}
	w.pending, w.lastAnswered = false, id
	wakes := w.activeAt
	if a.Suspended {
		wakes = w.requestedAt.Add(activateAfter)
	}
	for _, g := range a.Grants {
		p := w.accounts[g.Account]
		if p == nil {
			continue
		}
		p.ready = min(p.waiting, p.ready+g.Tokens)
		p.bucket.applyGrant(g, w.requestedAt, now, w.activeAt)
		p.refusedUntil, p.retryAt = time.Time{}, time.Time{}
		if g.RetryAfter > 0 {
			p.refusedUntil, p.retryAt = now.Add(min(g.RetryAfter, maxRefusalTTL)), now.Add(g.RetryAfter)
		}
	}
	if wakes.After(w.activeAt) {
		for _, p := range w.accounts {
			p.bucket.refill(now, w.activeAt) // what has come by itself stays
		}
		w.activeAt = wakes
	}
	return true
}

// Abandon records that no answer to the inquiry will be taken.
func (w *Limiter) Abandon(id uint64) {
	if id == w.lastRequest {
		w.pending = false
	}
}

// RemoveIdle drops accounts that nobody has used for long and of which nothing is held.
func (w *Limiter) RemoveIdle(now time.Time) {
	maps.DeleteFunc(w.accounts, func(_ string, p *localAccount) bool {
		p.bucket.refill(now, w.activeAt)
		return p.waiting == 0 && p.bucket.portion.Serial == 0 && p.demand.value(now) < minRate/2
	})
}
