package quota

import (
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/reserve"
	"pearlatch/core/quota/share"
)

// ReserveKeepaliveInterval is the least time between two keepalives of a host that holds reserves. It replaces
// keepaliveInterval, so that the host's portions become active earlier after the loss of the granter.
const ReserveKeepaliveInterval = 250 * time.Millisecond

// SetKeepaliveInterval sets the time between two keepalives while the host holds reserves. A host with reserves of many
// shards sends fewer for each. It is at least ReserveKeepaliveInterval.
func (l *Limiter) SetKeepaliveInterval(d time.Duration) { l.keepalive = d }

// reserveKeepalive returns the time between two keepalives, or zero if the host holds no reserves.
func (l *Limiter) reserveKeepalive() time.Duration {
	if !l.HoldsReserves() {
		return 0
	}
	return max(l.keepalive, ReserveKeepaliveInterval)
}

// ReserveFraction returns the fraction of each quota that one of the given number of reserve holders requests, see
// share.Requested.
func ReserveFraction(holders int) float64 {
	if holders <= 0 {
		return 0
	}
	return share.Requested / float64(holders)
}

// SetReserveHolders sets the hosts that may be asked for tokens, in the order in which this host asks them.
func (l *Limiter) SetReserveHolders(hosts []string) { l.holders.SetHolders(hosts) }

// SetReserve makes the host request the given fraction of an account's quota for the callers of all hosts. Zero means
// that the host needs a portion only for its own callers.
func (l *Limiter) SetReserve(name string, q account.Quota, fraction float64, now time.Time) {
	if fraction > 0 {
		l.account(name, q, now).reserve = fraction
		l.reserved[name] = true
	} else if a := l.accounts[name]; a != nil {
		a.reserve = 0
		delete(l.reserved, name)
	}
}

// HoldsReserves reports whether the host requests reserves.
func (l *Limiter) HoldsReserves() bool { return len(l.reserved) > 0 }

// RecordNoGranter records that the granter does not respond, or that the host knows none.
func (l *Limiter) RecordNoGranter(now time.Time) { l.failure.Record(now) }

// FailingSince returns when the granter stopped responding, or zero.
func (l *Limiter) FailingSince() time.Time { return l.failure.Since() }

// holdersMayServe reports whether a reserve holder may have a token of the account while the granter has none.
func (l *Limiter) holdersMayServe(a *localAccount, now time.Time) bool {
	return l.holders.MaxAsks() > 0 && l.holdersNeeded(a, now) && !a.refusals.Paused(now)
}

// holdersNeeded reports whether the granter fails to respond, is late, or had no token of the account while it did not
// know what all hosts hold.
func (l *Limiter) holdersNeeded(a *localAccount, now time.Time) bool {
	late := l.pending && now.Sub(l.requestedAt) >= reserve.HedgeDelay
	return late || l.failure.Lasts(now) || a.unserved
}

// HoldersNeeded reports whether waiting operations of any account need reserve holders.
func (l *Limiter) HoldersNeeded(now time.Time) bool {
	for _, a := range l.waiting {
		if l.holdersNeeded(a, now) {
			return true
		}
	}
	return false
}

// NextReserveRequest returns the request to send to a reserve holder now, or false if none is due. It covers all waiting
// operations for which another holder may be asked.
func (l *Limiter) NextReserveRequest(now time.Time) (holder string, req reserve.Request, ok bool) {
	if holder, ok = l.holders.Next(now); !ok {
		return "", reserve.Request{}, false
	}
	var demands []reserve.Demand
	for name, a := range l.waiting {
		if !l.holdersMayServe(a, now) {
			continue
		}
		if n := a.queue.Ask(l.holders.MaxAsks(), l.holders.MaxTries()); n > 0 {
			demands = append(demands, reserve.Demand{Account: name, Waiting: n})
		}
	}
	if len(demands) == 0 {
		return "", reserve.Request{}, false
	}
	return holder, l.holders.Start(holder, demands, now), true
}

// HandleReserveReply applies the reply of a reserve holder. It returns the number of tokens received. Nothing changes if
// the request is not in progress. A reply later than ResponseTimeout ends the request without tokens.
func (l *Limiter) HandleReserveReply(id uint64, reply reserve.Reply, now time.Time) (tokens int) {
	if reply.Declined {
		l.AbandonReserve(id, now)
		return 0
	}
	holder, demands, ok := l.holders.Accept(id, now, ResponseTimeout)
	if !ok {
		l.holders.Avoid(holder)
		return 0
	}
	omitted := reserve.Omitted(demands, reply)
	for _, name := range omitted {
		if a := l.accounts[name]; a != nil {
			a.queue.DiscountAsk()
		}
	}
	enough := len(omitted) == 0
	for _, g := range reply.Grants {
		a := l.accounts[g.Account]
		if a == nil {
			continue
		}
		tokens += g.Tokens
		a.queue.AddTokens(g.Tokens)
		if g.RetryAfter <= 0 {
			a.refusals.Reset()
			continue
		}
		enough = false
		a.expected.Expect(g.RetryAfter, g.Interval, holder, now)
		a.refusals.Add(&l.holders, min(g.RetryAfter, maxRefusalTTL), now)
	}
	if !enough {
		l.holders.Avoid(holder)
	}
	return tokens
}

// AbandonReserve records that a request to a reserve holder failed, or that the holder declined it.
func (l *Limiter) AbandonReserve(id uint64, now time.Time) {
	demands, ok := l.holders.Abandon(id)
	if !ok {
		return
	}
	for _, d := range demands {
		if a := l.accounts[d.Account]; a != nil {
			a.refusals.Add(&l.holders, reserve.FailurePause, now)
		}
	}
}

// Give takes tokens that this host holds for operations of another host's callers. They are spent even if the reply is
// lost. quotaOf returns an account's quota in this host's configuration, or false if there is none.
func (l *Limiter) Give(req reserve.Request, quotaOf func(name string) (account.Quota, bool), now time.Time) reserve.Reply {
	if !l.HoldsReserves() {
		return reserve.Reply{Declined: true}
	}
	var out reserve.Reply
	for _, d := range req.Accounts {
		q, ok := quotaOf(d.Account)
		if !ok || q.Unlimited() {
			continue
		}
		a := l.account(d.Account, q, now)
		if a.bucket.refill(now, l.activeAt); a.bucket.portion.Rate <= 0 {
			continue // another holder may have a portion
		}
		g := reserve.Grant{Account: d.Account}
		for g.Tokens < d.Waiting && a.bucket.take(now, l.activeAt) {
			g.Tokens++
		}
		if missing := d.Waiting - g.Tokens; missing > 0 {
			first, _ := a.bucket.nextTokenIn(now, l.activeAt)
			g.RetryAfter, g.Interval = a.given.Book(missing, first, a.bucket.portion.Rate, now)
		}
		out.Grants = append(out.Grants, g)
	}
	return out
}
