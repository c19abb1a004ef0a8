package quota

import (
	"time"

	"pearlatch/core/account"
)

// Portion is a host's part of an account's quota, for the time in which it does not reach the granter.
type Portion struct {
	// Serial tells the portions of one host and account apart. Zero is no portion.
	Serial uint64
	// Rate is how many tokens come by themselves in a second while the portion is awake, and Cap how many may
	// gather with the host.
	Rate, Cap float64
}

// Bucket holds a host's tokens of one account. The zero Bucket is empty. Tokens come by themselves from the time
// on that its methods are told: when the host's portions wake.
type Bucket struct {
	portion Portion
	// until is when the portion ends, and with it the tokens that are left.
	until time.Time
	// tokens were there at the time at.
	tokens float64
	at     time.Time
}

// advance lets tokens come until now.
func (b *Bucket) advance(now, wakes time.Time) {
	if !now.Before(b.until) {
		b.portion, b.tokens = Portion{}, 0
	}
	if elapsed := now.Sub(later(b.at, wakes)); elapsed > 0 {
		b.tokens += b.portion.Rate * elapsed.Seconds()
	}
	b.tokens = min(b.portion.Cap, b.tokens)
	b.at = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// take takes a token for an operation. It returns false if there is none.
func (b *Bucket) take(now, wakes time.Time) bool {
	b.advance(now, wakes)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// next returns after how long the next token comes by itself, or false if none does.
func (b *Bucket) next(now, wakes time.Time) (time.Duration, bool) {
	b.advance(now, wakes)
	if b.tokens >= 1 {
		return 0, true
	}
	if b.portion.Rate <= 0 {
		return 0, false
	}
	after := max(0, wakes.Sub(now)) + time.Duration((1-b.tokens)/b.portion.Rate*float64(time.Second))
	return after, now.Add(after).Before(b.until)
}

// receive takes over what the granter gave for a question that was asked at the given time, but for the tokens of
// operations that wait.
func (b *Bucket) receive(g Grant, asked, now, wakes time.Time) {
	b.advance(now, wakes)
	b.portion = Portion{Serial: g.Serial, Rate: g.Rate, Cap: g.Cap}
	b.until = asked.Add(g.Lasts)
	b.tokens = min(g.Cap, b.tokens+g.Ahead)
}

// lowered takes over that the account's quota is a fraction of what it was. The granter is told the same, but
// may not reach this host.
func (b *Bucket) lowered(from, to account.Quota, now, wakes time.Time) {
	b.advance(now, wakes)
	if to.Unbounded() || from.Unbounded() || to.Rate >= from.Rate {
		return
	}
	part := to.Rate / from.Rate
	b.portion.Rate *= part
	b.portion.Cap *= part
	b.tokens = min(b.tokens, b.portion.Cap)
}
