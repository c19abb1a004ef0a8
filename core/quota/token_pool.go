package quota

import (
	"time"

	"pearlatch/core/account"
)

const (
	// portionRateFraction bounds the sum of all portions' rates, and portionCapFraction that of their capacities, as
	// fractions of an account's quota. The rest serves hosts whose callers have just arrived, and lets a new granter
	// serve the callers of hosts that have lost their portions at once. Quotas are about twice what their accounts
	// ask for on most days, so either part covers about a usual day's callers.
	portionRateFraction = 0.6
	portionCapFraction  = 0.6
	// perHostFraction bounds the rate and the capacity of a single host's portion. The portion of a host that is lost without a report is
	// unavailable to callers until it must have expired.
	perHostFraction = portionRateFraction / 2
	// portionHeadroom is the ratio of a host's portion to its demand, where the quota allows it. Demand is an average,
	// so a portion must exceed it.
	portionHeadroom = 1.15
	// capDuration is the time for which a host may store its portion's tokens, and minCap the least capacity of a
	// portion.
	capDuration = 600 * time.Millisecond
	minCap      = 1.0
	// minRate is the least demand, in operations per second, for which a portion is granted: one operation within
	// demandTimeConstant yields no portion, two do.
	minRate = 0.2
)

// tokenPool is the granter's state of one account.
type tokenPool struct {
	// quota is what all hosts may use together: the account's quota and most of the tolerance.
	quota account.Quota
	// tokens is the number of tokens that were left at updatedAt.
	tokens    float64
	updatedAt time.Time
	// initialTokens is the number of tokens that a granter starts with.
	initialTokens float64
	// unreportedCount is the number of hosts that have not reported their holdings to the granter.
	unreportedCount int
	// portions holds what hosts may hold, by host ID.
	portions map[string]*hostPortions
	// totals is the sum over portions.
	totals     portionTotals
	lastSerial uint64
	// prunedAt is when expired portions were last removed.
	prunedAt time.Time
}

// portionTotals holds sums over the portions of a pool: the rates of active portions and of all portions, the most
// tokens that hosts may store now and in any case, and the demand.
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

// hostPortions is what a host may hold of an account's quota: the portion that it last reported, and the one offered to
// it since, which it may or may not have received.
type hostPortions struct {
	held, offered Portion
	// active is true if the host's portion may yield tokens. While it is false, the host has at most tokens.
	active bool
	tokens float64
	// expiresAt is when both portions have certainly expired.
	expiresAt time.Time
	// demand is in operations per second.
	demand float64
}

// rate and cap return upper bounds of what the host may use.
func (p *hostPortions) rate() float64 { return max(p.held.Rate, p.offered.Rate) }
func (p *hostPortions) cap() float64  { return max(p.held.Cap, p.offered.Cap) }

// applyRequest records what a request says that the host holds. Granted tokens that the request does not include were
// lost together with the portion that came with them.
func (p *hostPortions) applyRequest(req AccountRequest) {
	p.demand = req.Demand
	switch req.HeldSerial {
	case p.offered.Serial:
		p.held = p.offered
	case p.held.Serial:
	default:
		p.held = Portion{} // the host has lost both
	}
	p.offered, p.tokens = p.held, req.Tokens
}

// distributionScope is the part of an account's quota that a granter may distribute. While two granters do not hear from
// each other, both may believe that they are the only one. Their scopes then add up to the quota.
type distributionScope uint8

const (
	// scopeFollowers applies to a granter that may not be the only one. It distributes only what the suspended portions
	// of its followers leave unused.
	scopeFollowers distributionScope = iota
	// scopeUnreserved applies to the only granter while it does not know what all hosts hold. It distributes what
	// unreported hosts can't hold as portions, including what the suspended portions of its followers leave unused.
	scopeUnreserved
	// scopeEntire applies to the only granter once it knows what all hosts hold.
	scopeEntire
)

// setPortions replaces what a host may hold.
func (t *tokenPool) setPortions(host string, p hostPortions) {
	t.removePortions(host)
	t.portions[host] = &p
	t.totals.add(&p, 1)
}

// removePortions removes what a host may hold.
func (t *tokenPool) removePortions(host string) {
	p := t.portions[host]
	if p == nil {
		return
	}
	delete(t.portions, host)
	t.totals.add(p, -1)
	if len(t.portions) == 0 {
		t.totals = portionTotals{} // also clears rounding errors
	}
}

// setActive records whether the host's portion may yield tokens, from the given time on.
func (t *tokenPool) setActive(host string, active bool, at time.Time, scope distributionScope) {
	p := t.portions[host]
	if p == nil || p.active == active {
		return
	}
	t.refill(at, scope)
	changed := *p
	changed.active = active
	t.setPortions(host, changed)
}

// refill adds the tokens for the time until now that active portions do not yield.
func (t *tokenPool) refill(now time.Time, scope distributionScope) {
	if scope != scopeEntire {
		t.pruneNow(now) // tokens of expired portions are not this granter's to distribute
	}
	if elapsed := now.Sub(t.updatedAt); elapsed > 0 {
		t.tokens += t.refillRate(scope) * elapsed.Seconds()
		t.updatedAt = now
	}
	t.clampTokens(scope)
}

// refillRate returns the number of tokens per second that active portions do not yield and the scope allows.
func (t *tokenPool) refillRate(scope distributionScope) float64 {
	if scope == scopeFollowers {
		return max(0, t.totals.rate-t.totals.activeRate)
	}
	return max(0, t.quota.Rate-t.totals.activeRate-t.unreportedMax(scope, portionRateFraction, t.quota.Rate, t.totals.rate))
}

// unreportedMax returns the most that unreported hosts may hold of a quota's rate or burst, of which the known portions
// hold reported. All hosts together hold at most the given fraction of the quota, and each at most perHostFraction.
func (t *tokenPool) unreportedMax(scope distributionScope, fraction, quota, reported float64) float64 {
	if scope == scopeEntire {
		return 0
	}
	return max(0, min(fraction*quota-reported, float64(t.unreportedCount)*perHostFraction*quota))
}

// clampTokens drops tokens beyond the account's burst, less the tokens that hosts may store.
func (t *tokenPool) clampTokens(scope distributionScope) {
	maxTokens := t.totals.caps
	if scope != scopeFollowers {
		maxTokens = t.quota.Burst - t.unreportedMax(scope, portionCapFraction, t.quota.Burst, t.totals.caps)
	}
	maxTokens -= t.totals.stored
	t.tokens = min(t.tokens, max(t.initialTokens, maxTokens))
}

// pruneInterval is the time between two removals of expired portions. Until removed, they still count.
const pruneInterval = time.Second

// prune removes expired portions, at most once per pruneInterval.
func (t *tokenPool) prune(now time.Time) {
	if now.Sub(t.prunedAt) >= pruneInterval {
		t.pruneNow(now)
	}
}

// pruneNow removes expired portions at once.
func (t *tokenPool) pruneNow(now time.Time) {
	t.prunedAt = now
	for host, p := range t.portions {
		if !now.Before(p.expiresAt) {
			t.removePortions(host)
		}
	}
}

// takeTokens takes tokens for waiting operations, then at most half of the rest as prefetched tokens, up to prefetch.
func (t *tokenPool) takeTokens(waiting int, prefetch float64) (tokens int, prefetched float64) {
	tokens = max(0, min(int(t.tokens), waiting))
	t.tokens -= float64(tokens)
	prefetched = max(0, min(prefetch, t.tokens/2))
	t.tokens -= prefetched
	return tokens, prefetched
}

// nextPortion returns the portion to offer to the host. While the holdings of other hosts are unknown, the host keeps the
// portion that it reported until that expires: earlier granters that do not know of this one may then grant to other
// hosts what they had granted to this one.
func (t *tokenPool) nextPortion(p *hostPortions, known bool) Portion {
	if !known {
		return p.held
	}
	left := portionRateFraction*t.quota.Rate - (t.totals.rate - p.rate())
	scale := portionHeadroom
	if t.totals.demand*scale > portionRateFraction*t.quota.Rate {
		scale = portionRateFraction * t.quota.Rate / t.totals.demand
	}
	out := Portion{Rate: min(p.demand*scale, left, perHostFraction*t.quota.Rate)}
	out.Cap = min(minCap+out.Rate*capDuration.Seconds(), portionCapFraction*t.quota.Burst-(t.totals.caps-p.cap()), perHostFraction*t.quota.Burst)
	if p.demand < minRate || out.Rate < minRate/2 || out.Cap < minCap {
		return Portion{} // too small to be useful
	}
	return out
}

// retryAfter returns the time until the pool has a token.
func (t *tokenPool) retryAfter(scope distributionScope) time.Duration {
	rate := t.refillRate(scope)
	if rate <= 0 {
		return maxRetryAfter
	}
	return max(minRetryAfter, min(maxRetryAfter, time.Duration((1-t.tokens)/rate*float64(time.Second))))
}

// minRetryAfter and maxRetryAfter bound the result of retryAfter. The minimum is one or two round trips, the maximum is
// the time in which portions follow demand.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)
