package quota

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
)

const (
	// renewal is how often a host asks for its portions anew while callers come: portions follow demand within
	// about a second.
	renewal = 700 * time.Millisecond
	// restTime is how long after the last operation of an account a host still asks for a portion of it.
	restTime = 4 * time.Second
	// roomTime is for how long at once a host asks for tokens ahead of its callers.
	roomTime = 400 * time.Millisecond
)

// Wallet holds a host's tokens of the accounts that have the same granter. Use NewWallet. It is not safe for
// concurrent use.
type Wallet struct {
	// token is the fencing token of the newest granter that this host has heard of. It takes nothing from
	// those before.
	token   int64
	purses  map[string]*purse
	asked   uint64
	waiting bool
	askedAt time.Time
}

// purse is what a host holds of one account.
type purse struct {
	bucket Bucket
	demand demand
	quota  account.Quota
	// wants counts operations that wait for a token, and ready how many of them have got one.
	wants, ready int
	// usedAt is when the last operation came, and renewedAt when the portion was last asked for.
	usedAt, renewedAt time.Time
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
		if p := b.Portion(now); p.Serial != 0 {
			out = append(out, Holding{name, p, b.Lasts(now)})
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
		p.bucket.Lowered(p.quota, q, now)
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
	p.usedAt = now
	return w.again(name, p, now)
}

// again looks for a token.
func (w *Wallet) again(name string, p *purse, now time.Time) (Verdict, time.Duration) {
	if p.bucket.Take(now) {
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
	if next, ok := p.bucket.Next(now); ok && (after <= 0 || next < after) {
		after = next
	}
	return max(0, after)
}

// Return gives the token of an operation back that has certainly not run.
func (w *Wallet) Return(name string, now time.Time) {
	if p := w.purses[name]; p != nil {
		p.bucket.Return(now)
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

// Low reports whether the account's next operation may find no token.
func (w *Wallet) Low(name string, now time.Time) bool {
	p := w.purses[name]
	return p != nil && p.bucket.Low(now) && !now.Before(p.refusedUntil)
}

// Inquiry is what a host asks the granter at once.
type Inquiry struct {
	// ID tells the inquiries of a wallet apart. Only the answer to the last one is taken.
	ID        uint64
	Token     int64
	Questions []Question
}

// Inquire returns what to ask the granter now, or false if there is nothing to ask.
func (w *Wallet) Inquire(now time.Time) (Inquiry, bool) {
	var out []Question
	for _, name := range slices.Sorted(maps.Keys(w.purses)) {
		p := w.purses[name]
		if !p.due(now) {
			continue
		}
		p.renewedAt = now
		out = append(out, p.question(name, now))
	}
	if len(out) == 0 {
		return Inquiry{}, false
	}
	w.asked++
	w.waiting, w.askedAt = true, now
	return Inquiry{w.asked, w.token, out}, true
}

// due reports whether the granter is to be asked about the account.
func (p *purse) due(now time.Time) bool {
	switch {
	case p.wants > p.ready, p.bucket.Low(now) && now.Sub(p.usedAt) < restTime && !now.Before(p.refusedUntil):
		return true
	case now.Sub(p.usedAt) >= restTime:
		return false
	}
	return now.Sub(p.renewedAt) >= renewal
}

func (p *purse) question(name string, now time.Time) Question {
	d := p.demand.value(now)
	held := p.bucket.Portion(now)
	ahead := min(p.bucket.Room(now), max(0, d-held.Rate)*roomTime.Seconds())
	return Question{Account: name, Quota: p.quota, Holding: held.Serial, Demand: d, Waiting: p.wants - p.ready, Room: ahead}
}

// Receive takes over the answer to an inquiry. It returns false if it is not the answer to the last one, or of a
// granter that has a successor.
func (w *Wallet) Receive(id uint64, token int64, grants []Grant, now time.Time) bool {
	if !w.waiting || id != w.asked || token != w.token {
		return false
	}
	w.waiting = false
	for _, g := range grants {
		p := w.purses[g.Account]
		if p == nil {
			continue
		}
		served := min(p.wants-p.ready, int(g.Tokens))
		p.ready += served
		g.Tokens -= float64(served)
		p.bucket.Receive(g, w.askedAt, now)
		p.refusedUntil, p.backAt = time.Time{}, time.Time{}
		if g.After > 0 {
			p.refusedUntil, p.backAt = now.Add(min(g.After, longestDenial)), now.Add(g.After)
		}
	}
	return true
}

// longestDenial is how long a host takes the granter's word that there is no token: portions change meanwhile,
// and hosts give some back.
const longestDenial = 150 * time.Millisecond

// Abandon records that no answer to the inquiry will be taken.
func (w *Wallet) Abandon(id uint64) {
	if id == w.asked {
		w.waiting = false
	}
}

// Forget drops accounts that nobody has used for long and of which nothing is held.
func (w *Wallet) Forget(now time.Time) {
	maps.DeleteFunc(w.purses, func(_ string, p *purse) bool {
		return p.wants == 0 && now.Sub(p.usedAt) > Lifetime && p.bucket.Portion(now).Serial == 0
	})
}
