package quota

import (
	"time"

	"pearlatch/core/account"
)

const (
	// portionRateFraction bounds what of an account's rate may be with hosts as portions, and heldCap what of its capacity
	// may gather there. The rest is for hosts whose callers have just come, and what a new granter has at once for
	// the callers of hosts that have lost their portions: quotas are about twice what their accounts ask for on most
	// days, so either part holds about one day's callers.
	portionRateFraction = 0.6
	portionCapFraction  = 0.6
	// perHostFraction bounds a single host's part of either: what a host may hold that is lost with all it knows is kept
	// from callers until its portions must have ended.
	perHostFraction = portionRateFraction / 2
	// portionHeadroom is how much more than its callers' demand a host gets, where there is enough: demand is an
	// average.
	portionHeadroom = 1.15
	// capDuration is for how long at once a host may keep tokens for its callers, and leastCap how many in any case.
	capDuration = 600 * time.Millisecond
	minCap      = 1.0
	// minRate is the least portion, in operations per second: one operation in the time over which demand is
	// averaged makes no portion, two make one.
	minRate = 0.2
)

// tokenPool is what a granter knows of one account.
type tokenPool struct {
	// quota is what hosts may have together: the account's, and of the tolerance.
	quota account.Quota
	// tokens is how many tokens were left at the time at.
	tokens    float64
	updatedAt time.Time
	// initialTokens is how many tokens a granter initialTokens with.
	initialTokens float64
	// unreportedCount is how many hosts have not told the granter what they hold.
	unreportedCount int
	// portions holds what hosts may hold, by host.
	portions map[string]*hostPortions
	// totals adds the parts up.
	totals     portionTotals
	lastSerial uint64
	// prunedAt is when portions that had ended were last looked for.
	prunedAt time.Time
}

// portionTotals are over the parts of a book: the rates at which tokens may come to hosts by themselves now, and in all; what
// may be gathered there now, and at most; and what their callers ask for.
type portionTotals struct{ activeRate, rate, stored, caps, demand float64 }

func (s *portionTotals) add(p *hostPortions, sign float64) {
	s.rate += sign * p.rate()
	s.caps += sign * p.cap()
	s.demand += sign * p.demand
	if p.active {
		s.activeRate += sign * p.rate()
		s.stored += sign * p.cap()
	} else {
		s.stored += sign * p.tokens
	}
}

// hostPortions is what a host may hold of an account's quota: the portion that it said it has, and the one that was
// offered to it since, which it may have got or not.
type hostPortions struct {
	held, offered Portion
	// active is true if tokens may come to the host by themselves. While none do it has no more than stock.
	active bool
	tokens float64
	// expiresAt is when both portions have certainly ended.
	expiresAt time.Time
	// demand is in operations per second.
	demand float64
}

// rate and cap bound what the host may use.
func (p *hostPortions) rate() float64 { return max(p.held.Rate, p.offered.Rate) }
func (p *hostPortions) cap() float64  { return max(p.held.Cap, p.offered.Cap) }

// applyReport takes over what the host says that it holds. It may have been given tokens that it has not told of: those
// come with a portion that it has not got either.
func (p *hostPortions) applyReport(q AccountRequest) {
	p.demand = q.Demand
	switch q.HeldSerial {
	case p.offered.Serial:
		p.held = p.offered
	case p.held.Serial:
	default:
		p.held = Portion{} // it lost what it had
	}
	p.offered, p.tokens = p.held, q.Tokens
}

// distributionScope is what of an account's quota a granter may hand out. Two granters may take themselves for the only one, as
// long as neither hears from the other: their scopes add up to the quota.
type distributionScope uint8

const (
	// scopeFollowers is a granter that may not be the only one: it hands out what the portions of its followers leave unused
	// as they sleep, and nothing else.
	scopeFollowers distributionScope = iota
	// scopeUnreserved is the only granter, but does not know what all hosts hold: it hands out the part that hosts never hold
	// as portions, and the one of its followers.
	scopeUnreserved
	// scopeEntire is the only granter, which knows what all hosts hold.
	scopeEntire
)

// setPortions changes what a host may hold.
func (b *tokenPool) setPortions(host string, p hostPortions) {
	b.removePortions(host)
	b.portions[host] = &p
	b.totals.add(&p, 1)
}

// removePortions forgets what a host held.
func (b *tokenPool) removePortions(host string) {
	p := b.portions[host]
	if p == nil {
		return
	}
	delete(b.portions, host)
	b.totals.add(p, -1)
	if len(b.portions) == 0 {
		b.totals = portionTotals{} // and what rounding has left
	}
}

// setActive records whether tokens may come to the host by themselves, from the given time on.
func (b *tokenPool) setActive(host string, awake bool, at time.Time, s distributionScope) {
	p := b.portions[host]
	if p == nil || p.active == awake {
		return
	}
	b.refill(at, s)
	changed := *p
	changed.active = awake
	b.setPortions(host, changed)
}

// refill lets tokens come until now that do not come to hosts by themselves.
func (b *tokenPool) refill(now time.Time, s distributionScope) {
	if s != scopeEntire {
		b.pruneNow(now) // what no host holds any more is not this granter's
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens += b.refillRate(s) * elapsed.Seconds()
		b.updatedAt = now
	}
	b.clampTokens(s)
}

// refillRate is how many tokens come in a second that do not come to hosts.
func (b *tokenPool) refillRate(s distributionScope) float64 {
	if s == scopeFollowers {
		return max(0, b.totals.rate-b.totals.activeRate)
	}
	return max(0, b.quota.Rate-b.totals.activeRate-b.unreportedMax(s, portionRateFraction, b.quota.Rate, b.totals.rate))
}

// unreportedMax returns how much of something silent hosts hold at most: all hosts hold no more than a share of the whole,
// and each of them no more than mostShare.
func (b *tokenPool) unreportedMax(s distributionScope, share, quota, heard float64) float64 {
	if s == scopeEntire {
		return 0
	}
	return max(0, min(share*quota-heard, float64(b.unreportedCount)*perHostFraction*quota))
}

// clampTokens drops tokens beyond the account's capacity, less what may be gathered with hosts.
func (b *tokenPool) clampTokens(s distributionScope) {
	most := b.totals.caps
	if s != scopeFollowers {
		most = b.quota.Burst - b.unreportedMax(s, portionCapFraction, b.quota.Burst, b.totals.caps)
	}
	most -= b.totals.stored
	b.tokens = min(b.tokens, max(b.initialTokens, most))
}

// pruneInterval is the pause between two looks for portions that have ended. They count on until then.
const pruneInterval = time.Second

// prune forgets portions that have ended.
func (b *tokenPool) prune(now time.Time) {
	if now.Sub(b.prunedAt) >= pruneInterval {
		b.pruneNow(now)
	}
}

// pruneNow forgets portions that have ended, at once.
func (b *tokenPool) pruneNow(now time.Time) {
	b.prunedAt = now
	for host, p := range b.portions {
		if !now.Before(p.expiresAt) {
			b.removePortions(host)
		}
	}
}

// takeTokens hands out tokens for so many operations that wait, and of what is left then up to half as tokens ahead, for
// which the host has room.
func (b *tokenPool) takeTokens(waiting int, room float64) (tokens int, ahead float64) {
	tokens = max(0, min(int(b.tokens), waiting))
	b.tokens -= float64(tokens)
	ahead = max(0, min(room, b.tokens/2))
	b.tokens -= ahead
	return tokens, ahead
}

// nextPortion returns what the host is to get as its nextPortion. While it is not known what others hold the host keeps
// what it told that it had, for as long as that lasts: earlier granters who do not know of this one may give to
// others what they had given to it.
func (b *tokenPool) nextPortion(p *hostPortions, known bool) Portion {
	if !known {
		return p.held
	}
	left := portionRateFraction*b.quota.Rate - (b.totals.rate - p.rate())
	scale := portionHeadroom
	if b.totals.demand*scale > portionRateFraction*b.quota.Rate {
		scale = portionRateFraction * b.quota.Rate / b.totals.demand
	}
	out := Portion{Rate: min(p.demand*scale, left, perHostFraction*b.quota.Rate)}
	out.Cap = min(minCap+out.Rate*capDuration.Seconds(), portionCapFraction*b.quota.Burst-(b.totals.caps-p.cap()), perHostFraction*b.quota.Burst)
	if p.demand < minRate || out.Rate < minRate/2 || out.Cap < minCap {
		return Portion{} // nobody would use it
	}
	return out
}

// retryAfter returns after how long a token will be left that is not there now.
func (b *tokenPool) retryAfter(s distributionScope) time.Duration {
	inflow := b.refillRate(s)
	if inflow <= 0 {
		return maxRetryAfter
	}
	return max(minRetryAfter, min(maxRetryAfter, time.Duration((1-b.tokens)/inflow*float64(time.Second))))
}

// minRetryAfter and maxRetryAfter bound after what time more tokens may be there: a round trip or two, and the
// time in which portions follow demand.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)
