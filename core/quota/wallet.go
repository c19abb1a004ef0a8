package quota

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
)

const (
	// keepalive is the pause between two questions of a host that holds portions: they sleep on though one answer
	// is lost.
	keepalive = 500 * time.Millisecond
	// refreshPause is how often a portion is asked for anew, and adaptPause how soon after that if demand has changed
	// by half.
	refreshPause = 5 * time.Second
	adaptPause   = time.Second
	// aheadRate is from how many operations per second on a host asks for tokens ahead, for aheadTime of its callers,
	// and aheadPause is the pause between two such questions. Below it each operation asks for its own.
	aheadRate  = 2.0
	aheadTime  = 400 * time.Millisecond
	aheadPause = 50 * time.Millisecond
	// longestDenial is how long a host takes the granter's word that there is no token: portions change meanwhile,
	// and hosts give some back.
	longestDenial = 150 * time.Millisecond
)

// Wallet holds a host's tokens of the accounts that have the same granter. Use NewWallet. It is not safe for
// concurrent use.
type Wallet struct {
	// token is the fencing token of the newest granter that this host has heard of. It takes nothing from
	// those before.
	token  int64
	purses map[string]*purse
	// asked is the ID of the last inquiry, at askedAt. Its answer is waited for while waiting is true. heard is that
	// of the last one that was answered.
	asked, heard uint64
	waiting      bool
	askedAt      time.Time
	// wakes is when the portions wake.
	wakes time.Time
}

// purse is what a host holds of one account.
type purse struct {
	bucket Bucket
	demand demand
	quota  account.Quota
	// wants counts operations that wait for a token, and ready how many of them have got one. back counts tokens of
	// operations that have not run, which the granter is to have back.
	wants, ready, back int
	// askedAt is when the account was last asked about.
	askedAt time.Time
	// refusedUntil is until when the granter is not asked again after it had no more, and backAt when there may
	// be more, as it said.
	refusedUntil, backAt time.Time
}

// NewWallet returns an empty wallet.
func NewWallet() *Wallet { return &Wallet{purses: map[string]*purse{}} }

// Token returns the fencing token of the newest granter that the host has heard of.
func (w *Wallet) Token() int64 { return w.token }

// Follow makes a granter the one that the host takes tokens from, unless it knows of a later one.
func (w *Wallet) Follow(token int64) { w.token = max(w.token, token) }

// Tell returns what the host holds, and follows the granter that asks. It returns false if it knows of a later
// one. An answer that is under way is not taken any more.
func (w *Wallet) Tell(token int64, now time.Time) ([]Holding, bool) {
	w.Follow(token)
	if w.token != token {
		return nil, false
	}
	w.waiting = false
	var out []Holding
	for _, name := range slices.Sorted(maps.Keys(w.purses)) {
		b := &w.purses[name].bucket
		if b.advance(now, w.wakes); b.portion.Serial != 0 {
			out = append(out, Holding{name, b.portion, b.until.Sub(now)})
		}
	}
	return out, true
}

func (w *Wallet) purse(name string, q account.Quota, now time.Time) *purse {
	p := w.purses[name]
	if p == nil {
		p = &purse{quota: q}
		w.purses[name] = p
	}
	if p.quota != q {
		p.bucket.lowered(p.quota, q, now, w.wakes)
		p.quota = q
	}
	return p
}

// Verdict says whether an operation may begin.
type Verdict uint8

// The verdicts.
const (
	// Admitted operations may begin. Their token is spent.
	Admitted Verdict = iota
	// Ask means that the granter may have a token.
	Ask
	// Refused means that there is none.
	Refused
)

// Begin takes a token for an operation of an account, which comes for the first time. After a refusal it returns
// when to come back.
func (w *Wallet) Begin(name string, q account.Quota, now time.Time) (Verdict, time.Duration) {
	p := w.purse(name, q, now)
	p.demand.note(now)
	return w.again(name, p, now)
}

// again looks for a token.
func (w *Wallet) again(name string, p *purse, now time.Time) (Verdict, time.Duration) {
	if p.bucket.take(now, w.wakes) {
		return Admitted, 0
	}
	if now.Before(p.refusedUntil) {
		return Refused, w.After(name, now)
	}
	return Ask, 0
}

// After returns when an operation of the account may come back.
func (w *Wallet) After(name string, now time.Time) time.Duration {
	p := w.purses[name]
	if p == nil {
		return 0
	}
	after := p.backAt.Sub(now)
	if next, ok := p.bucket.next(now, w.wakes); ok && (after <= 0 || next < after) {
		after = next
	}
	return max(0, after)
}

// Return gives the token of an operation back that has certainly not run. It goes to the granter with the next
// question: kept here, it might come on top of what others were given since.
func (w *Wallet) Return(name string) {
	if p := w.purses[name]; p != nil {
		p.back++
	}
}

// Wait counts an operation that waits for the granter's answer.
func (w *Wallet) Wait(name string) { w.purses[name].wants++ }

// Leave returns what became of an operation that has waited: it was admitted, refused, or is to ask again.
func (w *Wallet) Leave(name string, now time.Time) (Verdict, time.Duration) {
	p := w.purses[name]
	p.wants--
	if p.ready > 0 {
		p.ready--
		return Admitted, 0
	}
	return w.again(name, p, now)
}

// Inquiry is what a host asks the granter at once.
type Inquiry struct {
	// ID tells the inquiries of a wallet apart, and rises. Only the answer to the last one is taken.
	ID uint64
	// Heard is the ID of the last one that was answered.
	Heard uint64
	Token int64
	// Questions may be empty: the host then tells that it reaches the granter.
	Questions []Question
}

// Inquire returns what to ask the granter now, or false if there is nothing to ask.
func (w *Wallet) Inquire(now time.Time) (Inquiry, bool) {
	var out []Question
	holds := false
	for _, name := range slices.Sorted(maps.Keys(w.purses)) {
		p := w.purses[name]
		p.bucket.advance(now, w.wakes)
		holds = holds || p.bucket.portion.Rate > 0
		if p.due(now) {
			p.askedAt = now
			out = append(out, p.question(name, now))
		}
	}
	if len(out) == 0 && (!holds || now.Sub(w.askedAt) < keepalive) {
		return Inquiry{}, false
	}
	w.asked++
	w.waiting, w.askedAt = true, now
	return Inquiry{w.asked, w.heard, w.token, out}, true
}

// Due reports whether the granter is to be asked about the account.
func (w *Wallet) Due(name string, now time.Time) bool {
	p := w.purses[name]
	return p != nil && p.due(now)
}

// due reports whether the granter is to be asked about the account.
func (p *purse) due(now time.Time) bool {
	d, held, since := p.demand.value(now), p.bucket.portion, now.Sub(p.askedAt)
	switch {
	case p.wants > p.ready:
		return true
	case d >= aheadRate && p.bucket.tokens < 1 && held.Cap >= leastCap && !now.Before(p.refusedUntil):
		return since >= aheadPause
	case d < leastRate && held.Rate == 0:
		return false
	case d < held.Rate/2 || d > 2*held.Rate:
		return since >= adaptPause
	}
	return since >= refreshPause
}

func (p *purse) question(name string, now time.Time) Question {
	d := p.demand.value(now)
	ahead := 0.0
	if d >= aheadRate {
		ahead = max(0, min(p.bucket.portion.Cap, 1+d*aheadTime.Seconds())-p.bucket.tokens)
	}
	back := p.back
	p.back = 0 // a question that gets lost takes them along, since it may have been answered
	return Question{
		Account: name, Back: back, Quota: p.quota, Holding: p.bucket.portion.Serial, Tokens: p.bucket.tokens, Demand: d,
		Waiting: p.wants - p.ready, Room: ahead,
	}
}

// Receive takes over the answer to an inquiry. It returns false if it is not the answer to the last one, late, or of
// a granter that has a successor.
func (w *Wallet) Receive(id uint64, token int64, a Answer, now time.Time) bool {
	if !w.waiting || id != w.asked || token != w.token || now.Sub(w.askedAt) > AnswerWithin {
		return false
	}
	w.waiting, w.heard = false, id
	wakes := w.wakes
	if a.Asleep {
		wakes = w.askedAt.Add(wakesAfter)
	}
	for _, g := range a.Grants {
		p := w.purses[g.Account]
		if p == nil {
			continue
		}
		p.ready = min(p.wants, p.ready+g.Tokens)
		p.bucket.receive(g, w.askedAt, now, w.wakes)
		p.refusedUntil, p.backAt = time.Time{}, time.Time{}
		if g.After > 0 {
			p.refusedUntil, p.backAt = now.Add(min(g.After, longestDenial)), now.Add(g.After)
		}
	}
	if wakes.After(w.wakes) {
		for _, p := range w.purses {
			p.bucket.advance(now, w.wakes) // what has come by itself stays
		}
		w.wakes = wakes
	}
	return true
}

// Abandon records that no answer to the inquiry will be taken.
func (w *Wallet) Abandon(id uint64) {
	if id == w.asked {
		w.waiting = false
	}
}

// Forget drops accounts that nobody has used for long and of which nothing is held.
func (w *Wallet) Forget(now time.Time) {
	maps.DeleteFunc(w.purses, func(_ string, p *purse) bool {
		p.bucket.advance(now, w.wakes)
		return p.wants == 0 && p.bucket.portion.Serial == 0 && p.demand.value(now) < leastRate/2
	})
}
