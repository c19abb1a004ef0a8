package quota

import (
	"time"

	"pearlatch/core/account"
)

const (
	// heldShare bounds what of an account's rate may be with hosts as portions, and heldCap what of its capacity
	// may gather there: the rest is there for hosts whose callers have just come.
	heldShare = 0.9
	heldCap   = 0.8
	// portionHeadroom is how much more than its callers' demand a host gets, where there is enough: demand is an
	// average.
	portionHeadroom = 1.15
	// capTime is for how long at once a host may keep tokens for its callers, and leastCap how many in any case.
	capTime  = 600 * time.Millisecond
	leastCap = 1.0
	// leastRate is the least portion, in operations per second: one operation in the time over which demand is
	// averaged makes no portion, two make one.
	leastRate = 0.2
)

// book is what a granter knows of one account.
type book struct {
	// quota is what hosts may have together: the account's, and of the tolerance.
	quota account.Quota
	// supply is how many tokens were left at the time at.
	supply float64
	at     time.Time
	// parts holds what hosts may hold, by host.
	parts map[string]*part
	// sums adds the parts up.
	sums   sums
	serial uint64
	// prunedAt is when portions that had ended were last looked for.
	prunedAt time.Time
}

// sums are over the parts of a book: the rates at which tokens may come to hosts by themselves now, and in all; what
// may be gathered there now, and at most; and what their callers ask for.
type sums struct{ awake, rate, gathered, caps, demand float64 }

func (s *sums) add(p *part, sign float64) {
	s.rate += sign * p.rate()
	s.caps += sign * p.cap()
	s.demand += sign * p.demand
	if p.awake {
		s.awake += sign * p.rate()
		s.gathered += sign * p.cap()
	} else {
		s.gathered += sign * p.stock
	}
}

// part is what a host may hold of an account's quota: the portion that it said it has, and the one that was
// offered to it since, which it may have got or not.
type part struct {
	held, offered Portion
	// awake is true if tokens may come to the host by themselves. While none do it has no more than stock.
	awake bool
	stock float64
	// until is when both portions have certainly ended.
	until time.Time
	// demand is in operations per second.
	demand float64
}

// rate and cap bound what the host may use.
func (p *part) rate() float64 { return max(p.held.Rate, p.offered.Rate) }
func (p *part) cap() float64  { return max(p.held.Cap, p.offered.Cap) }

// learn takes over what the host says that it holds. It may have been given tokens that it has not told of: those
// come with a portion that it has not got either.
func (p *part) learn(q Question) {
	p.demand = q.Demand
	switch q.Holding {
	case p.offered.Serial:
		p.held = p.offered
	case p.held.Serial:
	default:
		p.held = Portion{} // it lost what it had
	}
	p.offered, p.stock = p.held, q.Tokens
}

// view is what a granter knows when it answers.
type view struct {
	terms Terms
	// known is true if it knows what hosts hold, and certain if no successor can have begun.
	known, certain bool
}

// set changes what a host may hold.
func (b *book) set(host string, p part) {
	b.drop(host)
	b.parts[host] = &p
	b.sums.add(&p, 1)
}

// drop forgets what a host held.
func (b *book) drop(host string) {
	p := b.parts[host]
	if p == nil {
		return
	}
	delete(b.parts, host)
	b.sums.add(p, -1)
	if len(b.parts) == 0 {
		b.sums = sums{} // and what rounding has left
	}
}

// wake records whether tokens may come to the host by themselves, from the given time on.
func (b *book) wake(host string, awake bool, at time.Time, v view) {
	p := b.parts[host]
	if p == nil || p.awake == awake {
		return
	}
	b.advance(at, v)
	changed := *p
	changed.awake = awake
	b.set(host, changed)
}

// advance lets tokens come until now: what does not come to hosts by itself, or while that is not known what Terms
// allow.
func (b *book) advance(now time.Time, v view) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.supply += b.inflow(v) * elapsed.Seconds()
		b.at = now
	}
	b.limit(v)
}

// inflow is how many tokens come in a second that do not come to hosts. Of those that come meanwhile, only one
// granter at a time may hand out any.
func (b *book) inflow(v view) float64 {
	switch {
	case !v.known && v.certain:
		return v.terms.meanwhile(b.quota)
	case !v.known:
		return 0
	}
	return max(0, b.quota.Rate-b.sums.awake)
}

// limit drops tokens beyond the account's capacity, less what may be gathered with hosts. While that is not known a
// second's tokens are kept.
func (b *book) limit(v view) {
	most := v.terms.beginning() + v.terms.meanwhile(b.quota)
	if v.known {
		most = max(v.terms.beginning(), b.quota.Burst-b.sums.gathered)
	}
	b.supply = min(b.supply, most)
}

// prunePause is the pause between two looks for portions that have ended. They count on until then.
const prunePause = time.Second

// prune forgets portions that have ended.
func (b *book) prune(now time.Time) {
	if now.Sub(b.prunedAt) < prunePause {
		return
	}
	b.prunedAt = now
	for host, p := range b.parts {
		if !now.Before(p.until) {
			b.drop(host)
		}
	}
}

// hand hands out tokens for so many operations that wait, and of what is left then up to half as tokens ahead, for
// which the host has room.
func (b *book) hand(waiting int, room float64) (tokens int, ahead float64) {
	tokens = max(0, min(int(b.supply), waiting))
	b.supply -= float64(tokens)
	ahead = max(0, min(room, b.supply/2))
	b.supply -= ahead
	return tokens, ahead
}

// portion returns what the host is to get as its portion. While it is not known what others hold the host keeps
// what it told that it had, for as long as that lasts: earlier granters who do not know of this one may give to
// others what they had given to it.
func (b *book) portion(p *part, v view) Portion {
	if !v.known {
		return p.held
	}
	left := heldShare*b.quota.Rate - (b.sums.rate - p.rate())
	scale := portionHeadroom
	if b.sums.demand*scale > heldShare*b.quota.Rate {
		scale = heldShare * b.quota.Rate / b.sums.demand
	}
	out := Portion{Rate: min(p.demand*scale, left)}
	out.Cap = min(leastCap+out.Rate*capTime.Seconds(), heldCap*b.quota.Burst-(b.sums.caps-p.cap()))
	if p.demand < leastRate || out.Rate < leastRate/2 || out.Cap < leastCap {
		return Portion{} // nobody would use it
	}
	return out
}

// wait returns after how long a token will be left that is not there now.
func (b *book) wait(v view) time.Duration {
	inflow := b.inflow(v)
	if inflow <= 0 {
		return longestWait
	}
	return max(shortestWait, min(longestWait, time.Duration((1-b.supply)/inflow*float64(time.Second))))
}

// shortestWait and longestWait bound after what time more tokens may be there: a round trip or two, and the
// time in which portions follow demand.
const (
	shortestWait = 20 * time.Millisecond
	longestWait  = 2 * time.Second
)
