package quota

import (
	"time"

	"pearlatch/core/account"
)

const (
	// heldShare bounds what of an account's rate may be with hosts as portions, and heldCap what of its capacity
	// may gather there. The rest is for hosts whose callers have just come, and what a new granter has at once for
	// the callers of hosts that have lost their portions: quotas are about twice what their accounts ask for on most
	// days, so either part holds about one day's callers.
	heldShare = 0.6
	heldCap   = 0.6
	// mostShare bounds a single host's part of either: what a host may hold that is lost with all it knows is kept
	// from callers until its portions must have ended.
	mostShare = heldShare / 2
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
	// begins is how many tokens a granter begins with.
	begins float64
	// silent is how many hosts have not told the granter what they hold.
	silent int
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

// scope is what of an account's quota a granter may hand out. Two granters may take themselves for the only one, as
// long as neither hears from the other: their scopes add up to the quota.
type scope uint8

const (
	// apart is a granter that may not be the only one: it hands out what the portions of its followers leave unused
	// as they sleep, and nothing else.
	apart scope = iota
	// sole is the only granter, but does not know what all hosts hold: it hands out the part that hosts never hold
	// as portions, and the one of its followers.
	sole
	// whole is the only granter, which knows what all hosts hold.
	whole
)

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
func (b *book) wake(host string, awake bool, at time.Time, s scope) {
	p := b.parts[host]
	if p == nil || p.awake == awake {
		return
	}
	b.advance(at, s)
	changed := *p
	changed.awake = awake
	b.set(host, changed)
}

// advance lets tokens come until now that do not come to hosts by themselves.
func (b *book) advance(now time.Time, s scope) {
	if s != whole {
		b.drain(now) // what no host holds any more is not this granter's
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.supply += b.inflow(s) * elapsed.Seconds()
		b.at = now
	}
	b.limit(s)
}

// inflow is how many tokens come in a second that do not come to hosts.
func (b *book) inflow(s scope) float64 {
	if s == apart {
		return max(0, b.sums.rate-b.sums.awake)
	}
	return max(0, b.quota.Rate-b.sums.awake-b.unheard(s, heldShare, b.quota.Rate, b.sums.rate))
}

// unheard returns how much of something silent hosts hold at most: all hosts hold no more than a share of the whole,
// and each of them no more than mostShare.
func (b *book) unheard(s scope, share, quota, heard float64) float64 {
	if s == whole {
		return 0
	}
	return max(0, min(share*quota-heard, float64(b.silent)*mostShare*quota))
}

// limit drops tokens beyond the account's capacity, less what may be gathered with hosts.
func (b *book) limit(s scope) {
	most := b.sums.caps
	if s != apart {
		most = b.quota.Burst - b.unheard(s, heldCap, b.quota.Burst, b.sums.caps)
	}
	most -= b.sums.gathered
	b.supply = min(b.supply, max(b.begins, most))
}

// prunePause is the pause between two looks for portions that have ended. They count on until then.
const prunePause = time.Second

// prune forgets portions that have ended.
func (b *book) prune(now time.Time) {
	if now.Sub(b.prunedAt) >= prunePause {
		b.drain(now)
	}
}

// drain forgets portions that have ended, at once.
func (b *book) drain(now time.Time) {
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
func (b *book) portion(p *part, known bool) Portion {
	if !known {
		return p.held
	}
	left := heldShare*b.quota.Rate - (b.sums.rate - p.rate())
	scale := portionHeadroom
	if b.sums.demand*scale > heldShare*b.quota.Rate {
		scale = heldShare * b.quota.Rate / b.sums.demand
	}
	out := Portion{Rate: min(p.demand*scale, left, mostShare*b.quota.Rate)}
	out.Cap = min(leastCap+out.Rate*capTime.Seconds(), heldCap*b.quota.Burst-(b.sums.caps-p.cap()), mostShare*b.quota.Burst)
	if p.demand < leastRate || out.Rate < leastRate/2 || out.Cap < leastCap {
		return Portion{} // nobody would use it
	}
	return out
}

// wait returns after how long a token will be left that is not there now.
func (b *book) wait(s scope) time.Duration {
	inflow := b.inflow(s)
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
