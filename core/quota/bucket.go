package quota

import (
	"time"

	"pearlatch/core/account"
)

// Portion is a host's part of an account's quota, for use while the host can't reach the granter.
type Portion struct {
	// Serial distinguishes the portions of one host and account. Zero means no portion.
	Serial uint64
	// Rate is the number of tokens per second that the portion yields while it is active. Cap is the largest number of
	// tokens that the host may store.
	Rate, Cap float64
}

// Bucket holds a host's tokens of one account. The zero Bucket is empty. Its methods are passed activeAt, the time at
// which the host's portions become active: the portion yields tokens from then on.
type Bucket struct {
	portion Portion
	// expiresAt is when the portion expires, and the remaining tokens with it.
	expiresAt time.Time
	// tokens is the number of tokens at updatedAt.
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens that the portion has yielded until now.
func (b *Bucket) refill(now, activeAt time.Time) {
	if !now.Before(b.expiresAt) {
		b.portion, b.tokens = Portion{}, 0
	}
	if elapsed := now.Sub(later(b.updatedAt, activeAt)); elapsed > 0 {
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
func (b *Bucket) take(now, activeAt time.Time) bool {
	b.refill(now, activeAt)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextTokenIn returns the time until the portion yields the next token. It returns false if the portion yields none before
// it expires.
func (b *Bucket) nextTokenIn(now, activeAt time.Time) (time.Duration, bool) {
	b.refill(now, activeAt)
	if b.tokens >= 1 {
		return 0, true
	}
	if b.portion.Rate <= 0 {
		return 0, false
	}
	after := max(0, activeAt.Sub(now)) + time.Duration((1-b.tokens)/b.portion.Rate*float64(time.Second))
	return after, now.Add(after).Before(b.expiresAt)
}

// applyGrant applies the grant for a request that was sent at requestedAt, except for the tokens of waiting operations.
func (b *Bucket) applyGrant(g Grant, requestedAt, now, activeAt time.Time) {
	b.refill(now, activeAt)
	b.portion = Portion{Serial: g.Serial, Rate: g.Rate, Cap: g.Cap}
	b.expiresAt = requestedAt.Add(g.TTL)
	b.tokens = min(g.Cap, b.tokens+g.Prefetched)
}

// scaleDown reduces the portion in proportion when the account's quota is lowered. The granter learns of the new quota
// too, but may not reach this host. A raised quota changes nothing here.
func (b *Bucket) scaleDown(from, to account.Quota, now, activeAt time.Time) {
	b.refill(now, activeAt)
	if to.Unlimited() || from.Unlimited() || to.Rate >= from.Rate {
		return
	}
	ratio := to.Rate / from.Rate
	b.portion.Rate *= ratio
	b.portion.Cap *= ratio
	b.tokens = min(b.tokens, b.portion.Cap)
}
