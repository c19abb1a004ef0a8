package quota

import (
	"time"

	"pearlatch/core/account"
)

// Portion is a host's part of an account's quota.
type Portion struct {
	// Serial tells the portions of one host and account apart. Zero is no portion.
	Serial uint64
	// Rate is how many tokens come by themselves in a second, and Cap how many may gather.
	Rate, Cap float64
}

// Bucket holds a host's tokens of one account. The zero Bucket is empty.
type Bucket struct {
	portion Portion
	// until is when the portion ends, and with it the tokens that are left.
	until time.Time
	// tokens were there at the time at.
	tokens float64
	at     time.Time
}

// advance lets tokens come until now.
func (b *Bucket) advance(now time.Time) {
	if !now.Before(b.until) {
		b.portion, b.tokens = Portion{}, 0
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.portion.Cap, b.tokens+b.portion.Rate*elapsed.Seconds())
	}
	b.at = now
}

// Take takes a token for an operation. It returns false if there is none.
func (b *Bucket) Take(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return gives the token of an operation back that has certainly not run.
func (b *Bucket) Return(now time.Time) {
	b.advance(now)
	b.tokens = min(b.portion.Cap, b.tokens+1)
}

// Low reports whether there may be none for the next operation.
func (b *Bucket) Low(now time.Time) bool {
	b.advance(now)
	return b.tokens < 1
}

// Next returns after how long the next token comes by itself, or false if none does.
func (b *Bucket) Next(now time.Time) (time.Duration, bool) {
	b.advance(now)
	if b.tokens >= 1 {
		return 0, true
	}
	if b.portion.Rate <= 0 {
		return 0, false
	}
	after := time.Duration((1 - b.tokens) / b.portion.Rate * float64(time.Second))
	return after, now.Add(after).Before(b.until)
}

// Portion returns the portion in use.
func (b *Bucket) Portion(now time.Time) Portion {
	b.advance(now)
	return b.portion
}

// Lasts returns how long the portion still lasts.
func (b *Bucket) Lasts(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }

// Room returns how many tokens may be added.
func (b *Bucket) Room(now time.Time) float64 {
	b.advance(now)
	return max(0, b.portion.Cap-b.tokens)
}

// Receive takes over what the granter gave for a question that was asked at the given time.
func (b *Bucket) Receive(g Grant, asked, now time.Time) {
	b.advance(now)
	b.portion = Portion{Serial: g.Serial, Rate: g.Rate, Cap: g.Cap}
	b.until = asked.Add(g.Lasts)
	b.tokens += g.Tokens
}

// Lowered takes over that the account's quota is a fraction of what it was. The granter is told the same, but
// may not reach this host.
func (b *Bucket) Lowered(from, to account.Quota, now time.Time) {
	b.advance(now)
	if to.Unbounded() || from.Unbounded() || to.Rate >= from.Rate {
		return
	}
	part := to.Rate / from.Rate
	b.portion.Rate *= part
	b.portion.Cap *= part
	b.tokens = min(b.tokens, b.portion.Cap)
}
