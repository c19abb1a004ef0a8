package quota

import (
	"math"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/holder"
	"pearlatch/core/quota/share"
	"pearlatch/core/quota/waiting"
)

const (
	// portionHeadroom is the ratio of a host's portion to its demand, where the quota allows it. Demand is an average,
	// so a portion must exceed it.
	portionHeadroom = 1.15
	// reserveCapDuration is the time for which a reserve holder may store its reserve's tokens, at most: until its portion
	// becomes active after the loss of the granter.
	reserveCapDuration = time.Second
	// capDuration is the time for which a host may store its portion's tokens, and minCap the least capacity of a
	// portion.
	capDuration = 600 * time.Millisecond
	minCap      = 1.0
	// minRate is the least demand, in operations per second, for which a portion is granted: one operation within
	// demand.TimeConstant yields no portion, two do.
	minRate = 0.2
)

// tokenPool is the granter's state of one account.
type tokenPool struct {
	// quota is what all hosts may use together: the account's quota and most of the tolerance.
	quota account.Quota
	// share bounds the sum of the portions that this granter grants.
	share share.Portions
	// tokens is the number of tokens that were left at updatedAt.
	tokens    float64
	updatedAt time.Time
	// initialTokens is the number of tokens that a granter starts with.
	initialTokens float64
	// unreported counts the hosts that have not reported their holdings to the granter.
	unreported holder.Unreported
	// othersLimited is true if portions that are not reserves are limited whether or not there are reserves.
	othersLimited bool
	// portions holds, by host ID, what hosts may hold.
	portions map[string]*hostPortions
	// totals is the sum over portions.
	totals     portionTotals
	lastSerial uint64
	// prunedAt is when expired portions were last removed.
	prunedAt time.Time
	// refused holds the expected tokens that refused operations were told to come back for.
	refused waiting.Schedule
}

// portionTotals holds sums over the portions of a pool. activeRate is the rate of the active portions and rate that of all
// portions. stored bounds the tokens that hosts may store now, and caps those that they could store if all portions were
// active. reserve is what hosts want to hold as reserves, see AccountRequest. otherRate, otherCaps and demand concern
// the portions that are not reserves; demand is that of the hosts' callers.
type portionTotals struct{ activeRate, rate, stored, caps, reserve, otherRate, otherCaps, demand float64 }

func (s *portionTotals) add(p *hostPortions, sign float64) {
	s.rate += sign * p.rate()
	s.caps += sign * p.cap()
	if s.reserve += sign * p.reserve; p.reserve == 0 {
		s.otherRate += sign * p.rate()
		s.otherCaps += sign * p.cap()
		s.demand += sign * p.demand
	}
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
	// active is true if the host's portion may yield tokens. While it is false, the host has at most the number in
	// tokens.
	active bool
	tokens float64
	// expiresAt is when both portions have certainly expired.
	expiresAt time.Time
	// demand is in operations per second. reserve is what the host wants to hold as a reserve, see AccountRequest.
	demand, reserve float64
}

// rate and cap return upper bounds of what the host may use.
func (p *hostPortions) rate() float64 { return max(p.held.Rate, p.offered.Rate) }
func (p *hostPortions) cap() float64  { return max(p.held.Cap, p.offered.Cap) }

// applyRequest records what the host holds according to its request. Tokens that were granted but are not in the request
// were lost with a response, and so was the portion in the same response.
func (p *hostPortions) applyRequest(req AccountRequest) {
	p.demand, p.reserve = req.Demand, max(0, min(req.Reserve, share.Requested))
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
// each other, each may believe that it is the only one. Their scopes then add up to the quota.
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

// refill adds the tokens for the time until now: those within the scope that active portions do not yield.
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
	return max(0, t.quota.Rate-t.totals.activeRate-t.unreportedMax(scope, share.MaxPortions.Fraction(), share.OtherRate, t.quota.Rate, t.totals.rate))
}

// unreportedMax returns how much of quota, a rate or a burst, unreported hosts may hold. reported is how much of it the
// known portions hold. All hosts together hold at most the fraction all of it, each at most share.PerHost, and those that
// can't hold reserves at most the fraction others.
func (t *tokenPool) unreportedMax(scope distributionScope, all, others, quota, reported float64) float64 {
	if scope == scopeEntire {
		return 0
	}
	return max(0, min(all*quota-reported, t.unreported.Max(others)*quota))
}

// clampTokens drops tokens beyond the account's burst, less the tokens that hosts may store.
func (t *tokenPool) clampTokens(scope distributionScope) {
	maxTokens := t.totals.caps
	if scope != scopeFollowers {
		maxTokens = t.quota.Burst - t.unreportedMax(scope, share.Cap, share.OtherCap, t.quota.Burst, t.totals.caps)
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

// takeTokens takes tokens for waiting operations, and then at most half of the remaining tokens, up to prefetch, for
// later ones.
func (t *tokenPool) takeTokens(waiting int, prefetch float64) (tokens int, prefetched float64) {
	tokens = max(0, min(int(t.tokens), waiting))
	t.tokens -= float64(tokens)
	prefetched = max(0, min(prefetch, t.tokens/2))
	t.tokens -= prefetched
	return tokens, prefetched
}

// nextPortion returns the portion to offer to the host. known is true if the holdings of all hosts are known. Until then
// the host keeps the portion that it reported, until that expires: an earlier granter that does not know of this one may
// then grant the same part of the quota to another host.
func (t *tokenPool) nextPortion(p *hostPortions, known bool) Portion {
	if !known {
		return p.held
	}
	// What all portions together leave of their fractions of the quota.
	left := Portion{
		Rate: min(t.share.Fraction()*t.quota.Rate-(t.totals.rate-p.rate()), share.PerHost*t.quota.Rate),
		Cap:  min(share.Cap*t.quota.Burst-(t.totals.caps-p.cap()), share.PerHost*t.quota.Burst),
	}
	if p.reserve > 0 {
		return t.nextReserve(p, left)
	}
	reserved := min(1, t.totals.reserve/share.Requested)
	if t.othersLimited {
		reserved = 1
	}
	rateLimit := (t.share.Fraction() - reserved*t.share.ReserveRate()) * t.quota.Rate
	capLimit := (share.Cap - reserved*share.ReserveCap) * t.quota.Burst
	scale := portionHeadroom
	if t.totals.demand*scale > rateLimit {
		scale = rateLimit / t.totals.demand
	}
	out := Portion{Rate: min(p.demand*scale, rateLimit-(t.totals.otherRate-p.rate()), left.Rate)}
	out.Cap = min(minCap+out.Rate*capDuration.Seconds(), capLimit-(t.totals.otherCaps-p.cap()), left.Cap)
	if p.demand < minRate {
		return Portion{}
	}
	return out.useful()
}

// nextReserve returns the reserve to offer to a host. left is what other portions leave. The reserves share their limits
// in proportion to what the hosts want.
func (t *tokenPool) nextReserve(p *hostPortions, left Portion) Portion {
	part := p.reserve / max(share.Requested, t.totals.reserve)
	out := Portion{Rate: min(part*t.share.ReserveRate()*t.quota.Rate, left.Rate)}
	// A holder gives whole tokens. A small burst yields less than one for each holder, so the first ones hold one each.
	tokens := math.Round(min(minCap+out.Rate*reserveCapDuration.Seconds(), part*share.ReserveCap*t.quota.Burst))
	out.Cap = min(max(minCap, tokens), left.Cap)
	return out.useful()
}

// useful returns the portion, or none if it is too small to be useful.
func (p Portion) useful() Portion {
	if p.Rate < minRate/2 || p.Cap < minCap {
		return Portion{}
	}
	return p
}

// expect returns the time after which the first of n operations is to retry, and the interval between the retries of the
// following ones.
func (t *tokenPool) expect(n int, scope distributionScope, now time.Time) (after, interval time.Duration) {
	rate := t.refillRate(scope)
	first := waiting.MaxRetryAfter
	if rate > 0 {
		first = time.Duration(min(max(0, 1-t.tokens)/rate*float64(time.Second), float64(first)))
	}
	return t.refused.Book(n, first, rate, now)
}
