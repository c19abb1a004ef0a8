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
	// expiresAt is when the portion ends, and with it the tokens that are left.
	expiresAt time.Time
	// tokens were there at the time at.
	tokens    float64
	updatedAt time.Time
}

// refill lets tokens come until now.
func (b *Bucket) refill(now, wakes time.Time) {
	if !now.Before(b.expiresAt) {
		b.portion, b.tokens = Portion{}, 0
	}
	if elapsed := now.Sub(later(b.updatedAt, wakes)); elapsed > 0 {
		b.tokens += b.portion.Rate * elapsed.Seconds()
	}
	b.tokens = min(b.portion.Cap, b.tokens)
	b.updatedAt = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// take takes a token for an operation. It returns false if there is none.
func (b *Bucket) take(now, wakes time.Time) bool {
	b.refill(now, wakes)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextTokenIn returns after how long the nextTokenIn token comes by itself, or false if none does.
func (b *Bucket) nextTokenIn(now, wakes time.Time) (time.Duration, bool) {
	b.refill(now, wakes)
	if b.tokens >= 1 {
		return 0, true
	}
	if b.portion.Rate <= 0 {
		return 0, false
	}
	after := max(0, wakes.Sub(now)) + time.Duration((1-b.tokens)/b.portion.Rate*float64(time.Second))
	return after, now.Add(after).Before(b.expiresAt)
}

// applyGrant takes over what the granter gave for a question that was asked at the given time, but for the tokens of
// operations that wait.
func (b *Bucket) applyGrant(g Grant, asked, now, wakes time.Time) {
	b.refill(now, wakes)
	b.portion = Portion{Serial: g.Serial, Rate: g.Rate, Cap: g.Cap}
	b.expiresAt = asked.Add(g.TTL)
	b.tokens = min(g.Cap, b.tokens+g.Prefetched)
}

// scaleDown takes over that the account's quota is a fraction of what it was. The granter is told the same, but
// may not reach this host.
func (b *Bucket) scaleDown(from, to account.Quota, now, wakes time.Time) {
	b.refill(now, wakes)
	if to.Unlimited() || from.Unlimited() || to.Rate >= from.Rate {
		return
	}
	part := to.Rate / from.Rate
	b.portion.Rate *= part
	b.portion.Cap *= part
	b.tokens = min(b.tokens, b.portion.Cap)
}
