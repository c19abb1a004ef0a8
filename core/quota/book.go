package quota

import (
	"math"
	"time"

	"pearlatch/core/account"
)

const (
	// heldShare bounds what of an account's rate may be with hosts as portions: the rest is there for hosts
	// whose callers have just come. heldCap bounds what of its capacity may gather there.
	heldShare = 0.85
	heldCap   = 0.5
	// portionHeadroom is how much more than its callers' demand a host gets, where there is enough: demand is an
	// average.
	portionHeadroom = 1.15
	// capTime is how much of its portion may gather with a host, and leastCap how many tokens in any
	// case: a pause between two operations of a caller.
	capTime  = 600 * time.Millisecond
	leastCap = 1.0
)

// book is what a granter knows of one account.
type book struct {
	quota account.Quota
	// supply is how many tokens were left at the time at.
	supply float64
	at     time.Time
	// parts holds what hosts may hold, by host; rate, gathered and demanded are the sums of theirs.
	parts                    map[string]*part
	rate, gathered, demanded float64
	serial                   uint64
	// prunedAt is when portions that had ended were last looked for.
	prunedAt time.Time
}

// part is what a host may hold of an account's quota: the portion that it said it has, and the one that was
// offered to it since, which it may have got or not.
type part struct {
	held, offered Portion
	// until is when both have certainly ended.
	until time.Time
	// demand is in operations per second.
	demand float64
}

// rate and gathered bound what the host may use.
func (p *part) rate() float64     { return max(p.held.Rate, p.offered.Rate) }
func (p *part) gathered() float64 { return max(p.held.Cap, p.offered.Cap) }

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
	b.rate += p.rate()
	b.gathered += p.gathered()
	b.demanded += p.demand
}

// drop forgets what a host held.
func (b *book) drop(host string) {
	p := b.parts[host]
	if p == nil {
		return
	}
	delete(b.parts, host)
	if len(b.parts) == 0 {
		b.rate, b.gathered, b.demanded = 0, 0, 0 // and what rounding has left
		return
	}
	b.rate -= p.rate()
	b.gathered -= p.gathered()
	b.demanded -= p.demand
}

// advance lets tokens come until now: what is not with hosts, or while that is not known what Terms allow.
func (b *book) advance(now time.Time, v view) {
	inflow := b.inflow(v)
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.supply += inflow * elapsed.Seconds()
		b.at = now
	}
	b.limit(v)
}

// inflow is how many tokens come in a second that are not with hosts. Of those that come meanwhile, only one
// granter at a time may hand out any.
func (b *book) inflow(v view) float64 {
	switch {
	case !v.known && v.certain:
		return v.terms.meanwhile(b.quota)
	case !v.known:
		return 0
	}
	return max(0, b.quota.Rate-b.rate)
}

// limit drops tokens beyond the account's capacity, less what may gather with hosts. While that is not known a
// second's tokens are kept.
func (b *book) limit(v view) {
	most := v.terms.beginning() + v.terms.meanwhile(b.quota)
	if v.known {
		most = max(v.terms.beginning(), v.terms.capacity(b.quota)-b.gathered)
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

// hand hands out tokens for operations that wait, and of the rest no more than half of what is left, so that
// others find some.
func (b *book) hand(q Question, most float64) float64 {
	tokens := min(math.Floor(b.supply), float64(q.Waiting))
	if left := b.supply - tokens; left > 0 {
		tokens += min(max(0, min(q.Room, most)), left/2)
	}
	tokens = max(0, tokens)
	b.supply -= tokens
	return tokens
}

// portion returns what the host is to get as its portion. While it is not known what others hold the host keeps
// what it told that it had, for as long as that lasts: earlier granters who do not know of this one may give to
// others what they had given to it.
func (b *book) portion(p *part, v view) Portion {
	if !v.known {
		return p.held
	}
	left := heldShare*b.quota.Rate - (b.rate - p.rate())
	scale := portionHeadroom
	if b.demanded*scale > heldShare*b.quota.Rate {
		scale = heldShare * b.quota.Rate / b.demanded
	}
	out := Portion{Rate: max(0, min(p.demand*scale, left))}
	room := heldCap*v.terms.capacity(b.quota) - (b.gathered - p.gathered())
	out.Cap = max(0, min(leastCap+out.Rate*capTime.Seconds(), room))
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
