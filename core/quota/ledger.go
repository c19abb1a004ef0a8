package quota

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/leadership"
)

// Granter is what the granter of some accounts knows of what it has given. Use NewLedger. It is not safe for
// concurrent use.
type Granter struct {
	// firstToken and token are the granter's fencing tokens: those of its duty's begin, and the newest one. All that
	// lie between are its own.
	firstToken, token int64
	tolerance         Tolerance
	startedAt         time.Time
	// soleUntil is endsAt when no successor can have begun, and endsAt when this granter's time is over.
	soleUntil, endsAt time.Time
	// formerGranters holds the hosts that have been granters and may still take themselves for the present one.
	formerGranters map[string]bool
	// scope is what this granter may hand out, since the time since.
	scope      distributionScope
	scopeSince time.Time
	// hosts holds all hosts that may hold portions, or have been granters.
	hosts map[string]*host
	// unreportedCount counts those that have not told what they hold; told is when the last of them had, or zero.
	unreportedCount int
	allReportedAt   time.Time
	pools           map[string]*tokenPool
	// suspended holds the hosts whose portions count as asleep.
	suspended map[string]*host
}

// host is a host that may hold portions.
type host struct {
	// process is the one that answered last, or empty. Portions of an earlier process ended with it.
	process string
	// unreported is true until the host has told what it holds of earlier granters, or has certainly ended.
	unreported bool
	// reportedAt is when it reportedAt, and heardAt when it last reportedAt, or asked.
	reportedAt, heardAt time.Time
	// lastRequest is the ID of its last question, which was answered at answeredAt if answered is true.
	lastRequest   uint64
	suspendSent   bool
	suspendSentAt time.Time
	// suspendedUntil is until when its portions certainly sleep, and awake whether they count as awake.
	suspendedUntil time.Time
	active         bool
	// accounts names the accounts of which it may hold portions.
	accounts map[string]bool
}

// NewGranter returns the ledger of a granter with a fencing token, which begins now. The hosts named may hold
// portions of earlier granters, and those before may have been one.
func NewGranter(token int64, t Tolerance, now time.Time, mayHold, before []string) *Granter {
	l := &Granter{
		firstToken: token, token: token, tolerance: t, startedAt: now, scopeSince: now, formerGranters: map[string]bool{},
		hosts: map[string]*host{}, pools: map[string]*tokenPool{}, suspended: map[string]*host{},
	}
	for _, id := range before {
		l.formerGranters[id] = true
	}
	for _, id := range slices.Concat(mayHold, before) {
		l.hosts[id] = &host{unreported: true, active: true, accounts: map[string]bool{}}
	}
	if l.unreportedCount = len(l.hosts); l.unreportedCount == 0 {
		l.allReportedAt = now
	}
	l.Extend(now)
	l.scope = l.scopeAt(now)
	return l
}

// scopeAt returns what this granter may hand out. One that was taken away from its holder before is believed to go on
// until it has told, or for as long as it counts on its duty.
func (l *Granter) scopeAt(now time.Time) distributionScope {
	switch {
	case !now.Before(l.soleUntil):
		return scopeFollowers
	case l.HoldingsKnown(now):
		return scopeEntire
	case len(l.formerGranters) == 0 || !now.Before(l.startedAt.Add(leadership.DutyValidity+maxClockDrift)):
		return scopeUnreserved
	}
	return scopeFollowers
}

// updateScope takes over what the granter may hand out from now on. Until now it was the smaller part.
func (l *Granter) updateScope(now time.Time) {
	s := l.scopeAt(now)
	if s == l.scope {
		return
	}
	if s == scopeUnreserved {
		clear(l.formerGranters) // they have noticed, for good
	}
	for _, b := range l.pools {
		b.refill(now, min(s, l.scope))
	}
	l.scope, l.scopeSince = s, now
}

// Token returns the granter's fencing token.
func (l *Granter) Token() int64 { return l.token }

// RaiseToken records that the granter's fencing token has risen.
func (l *Granter) RaiseToken(token int64) { l.token = max(l.token, token) }

// Extend records that the granter held its duty at a time, so that whoever succeeds it begins no sooner. It goes
// on for Lifetime, with what its followers hold.
func (l *Granter) Extend(held time.Time) {
	l.soleUntil, l.endsAt = held.Add(leadership.DutyValidity), held.Add(PortionTTL)
}

// KnowsHost reports whether the host may be given portions: it is among those that a successor will ask.
func (l *Granter) KnowsHost(id string) bool { return l.hosts[id] != nil }

// AddHosts lets more hosts get portions. A successor must know of them first.
func (l *Granter) AddHosts(ids ...string) {
	for _, id := range ids {
		if l.hosts[id] == nil {
			l.hosts[id] = &host{active: true, accounts: map[string]bool{}}
		}
	}
}

// FormerGranters returns the hosts that may still take themselves for the granter, in order.
func (l *Granter) FormerGranters() []string { return slices.Sorted(maps.Keys(l.formerGranters)) }

// RemoveHost drops a host that holds nothing, and of which no successor need know.
func (l *Granter) RemoveHost(id string) { delete(l.hosts, id) }

// UnreportedHosts returns the hosts that have not told what they hold, in order.
func (l *Granter) UnreportedHosts() []string {
	var out []string
	for id, h := range l.hosts {
		if h.unreported {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// QuietHosts returns the hosts that hold portions and were not heard of since, in order. They may have ended.
func (l *Granter) QuietHosts(since time.Time) []string {
	var out []string
	for id, h := range l.hosts {
		if len(h.accounts) > 0 && h.heardAt.Before(since) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RecordExit records that the host's process has certainly ended, and holds nothing.
func (l *Granter) RecordExit(id string, now time.Time) {
	h := l.hosts[id]
	if h == nil {
		return
	}
	l.updateScope(now)
	for name := range h.accounts {
		l.pools[name].refill(now, l.scope)
		l.pools[name].removePortions(id)
	}
	clear(h.accounts)
	delete(l.suspended, id)
	delete(l.formerGranters, id)
	h.process, h.active, h.suspendedUntil = "", true, time.Time{}
	if !h.unreported {
		return
	}
	h.unreported = false
	if l.unreportedCount--; l.unreportedCount == 0 {
		l.allReportedAt = now
	}
	l.updateScope(now)
	for _, b := range l.pools {
		b.refill(now, l.scope)
		b.unreportedCount = l.unreportedCount
	}
}

// Holding is what a host holds of an account.
type Holding struct {
	Account string
	Portion Portion
	TTL     time.Duration
}

// RecordReport records what a process of a host holds of earlier granters. From then on it takes nothing from them. It
// must answer a question of the granter, so that processes are heard of in the order in which they ran.
func (l *Granter) RecordReport(id, process string, holds []Holding, now time.Time) {
	h := l.hosts[id]
	if h == nil {
		return
	}
	if h.process == process {
		h.heardAt = now // what it got from this granter is known
		return
	}
	l.RecordExit(id, now)
	h.process, h.reportedAt, h.heardAt, h.lastRequest, h.suspendSent, h.suspendedUntil, h.active = process, now, now, 0, false, time.Time{}, true
	for _, each := range holds {
		b := l.pool(each.Account, account.Quota{}, now)
		b.refill(now, l.scope)
		b.setPortions(id, hostPortions{held: each.Portion, offered: each.Portion, active: true, expiresAt: now.Add(each.TTL + maxClockDrift), demand: each.Portion.Rate / portionHeadroom})
		b.lastSerial = max(b.lastSerial, each.Portion.Serial)
		h.accounts[each.Account] = true
	}
}

// HasReported reports whether the host's process has told what it holds.
func (l *Granter) HasReported(id, process string) bool {
	h := l.hosts[id]
	return h != nil && !h.unreported && h.process == process
}

// AccountRequest is what a host asks of an account.
type AccountRequest struct {
	Account string
	// Quota is the account's, as the granter's configuration says.
	Quota account.Quota
	// HeldSerial is the serial of the portion that the host has, and Tokens what it has left.
	HeldSerial uint64
	Tokens     float64
	// Returned is how many tokens it gives back.
	Returned int
	// Demand is how many operations its callers begin per second.
	Demand float64
	// Waiting is how many operations wait for a token, and Room how many more tokens the host would like.
	Waiting  int
	Prefetch float64
}

// Grant answers a Question.
type Grant struct {
	Account string
	Serial  uint64
	// Rate and Cap make the host's portion, which lasts for so long from when it was asked for.
	Rate, Cap float64
	TTL       time.Duration
	// Tokens are for operations that wait, and Ahead for those that come.
	Tokens     int
	Prefetched float64
	// RetryAfter is when more may be left for operations that got none.
	RetryAfter time.Duration
}

// Response answers an Inquiry.
type Response struct {
	// Suspended is true if the host's portions are to sleep while it reaches the granter.
	Suspended bool
	Grants    []Grant
}

// HandleRequest answers a process of a host. It returns false for one that takes tokens from another granter or has not
// told yet what it holds, and once this granter's time is over.
func (l *Granter) HandleRequest(id, process string, in Request, now time.Time) (Response, bool) {
	h := l.hosts[id]
	if h == nil || h.unreported || h.process != process || in.ID <= h.lastRequest || in.Token < l.firstToken || in.Token > l.token || !now.Before(l.endsAt) {
		return Response{}, false
	}
	l.updateScope(now)
	l.activateExpired(now)
	if in.LastAnswered == h.lastRequest && h.suspendSent {
		// The host counts from when it asked, which is a little earlier.
		h.suspendedUntil = h.suspendSentAt.Add(assumeActiveAfter)
		l.suspend(id, h, now)
	}
	known := l.HoldingsKnown(now)
	// An earlier granter may count on it that the host's portions sleep, and hand out what they leave.
	asleep := known || now.Sub(h.reportedAt) >= assumeActiveAfter
	h.heardAt, h.lastRequest, h.suspendSent, h.suspendSentAt = now, in.ID, asleep, now
	out := Response{Suspended: asleep, Grants: make([]Grant, len(in.Accounts))}
	for i, q := range in.Accounts {
		h.accounts[q.Account] = true
		out.Grants[i] = l.handleAccount(id, h, q, known, now)
	}
	return out, true
}

// suspend counts the host's portions as asleep.
func (l *Granter) suspend(id string, h *host, now time.Time) {
	if !h.active || !now.Before(h.suspendedUntil) {
		return
	}
	h.active = false
	l.suspended[id] = h
	for name := range h.accounts {
		l.pools[name].setActive(id, false, now, l.scope)
	}
}

// activateExpired counts the portions of hosts as awake that have not been heard of for long.
func (l *Granter) activateExpired(now time.Time) {
	for id, h := range l.suspended {
		if now.Before(h.suspendedUntil) {
			continue
		}
		h.active = true
		delete(l.suspended, id)
		for name := range h.accounts {
			l.pools[name].setActive(id, true, h.suspendedUntil, l.scope)
		}
	}
}

// handleAccount answers a question of a host.
func (l *Granter) handleAccount(id string, h *host, q AccountRequest, known bool, now time.Time) Grant {
	b := l.pool(q.Account, q.Quota, now)
	b.quota = l.tolerance.distributable(q.Quota)
	b.refill(now, l.scope)
	if known {
		b.prune(now)
	}
	p := hostPortions{}
	if known := b.portions[id]; known != nil {
		p = *known
	}
	p.active = h.active
	p.applyReport(q)
	b.tokens += float64(q.Returned)
	b.setPortions(id, p)
	out := l.renewPortion(b, &p, q, known, now)
	b.setPortions(id, p)
	b.clampTokens(l.scope)
	out.Tokens, out.Prefetched = b.takeTokens(q.Waiting, min(q.Prefetch, p.offered.Cap-q.Tokens))
	p.tokens += out.Prefetched
	b.setPortions(id, p)
	if out.Tokens < q.Waiting {
		out.RetryAfter = b.retryAfter(l.scope)
		if l.scope == scopeFollowers && now.Before(l.soleUntil) {
			// It will be the only one.
			out.RetryAfter = min(out.RetryAfter, max(minRetryAfter, l.startedAt.Add(leadership.DutyValidity+maxClockDrift).Sub(now)))
		}
	}
	return out
}

// renewPortion makes a new portion for the host.
func (l *Granter) renewPortion(b *tokenPool, p *hostPortions, q AccountRequest, known bool, now time.Time) Grant {
	p.offered = b.nextPortion(p, known)
	b.lastSerial++
	p.offered.Serial = b.lastSerial
	lasts := min(PortionTTL, l.endsAt.Sub(now))
	if known || p.expiresAt.IsZero() {
		p.expiresAt = now.Add(lasts + maxClockDrift)
	} else {
		// Earlier granters who do not know of this one count on its end.
		lasts = min(lasts, p.expiresAt.Sub(now)-maxClockDrift)
	}
	return Grant{Account: q.Account, Serial: p.offered.Serial, Rate: p.offered.Rate, Cap: p.offered.Cap, TTL: lasts}
}

// HoldingsKnown reports whether the granter knows what hosts hold: all have told, or what earlier granters gave has ended.
func (l *Granter) HoldingsKnown(now time.Time) bool { return !now.Before(l.holdingsKnownAt()) }

// holdingsKnownAt is from when on it knows, as far as it can tell now.
func (l *Granter) holdingsKnownAt() time.Time {
	end := l.startedAt.Add(PortionTTL + maxClockDrift)
	if l.allReportedAt.IsZero() || end.Before(l.allReportedAt) {
		return end
	}
	return l.allReportedAt
}

// pool returns the pool of an account. One that nobody has asked for has gathered tokens for as long as the granter
// could hand them out.
func (l *Granter) pool(name string, q account.Quota, now time.Time) *tokenPool {
	b := l.pools[name]
	if b == nil {
		at := l.scopeSince
		if l.scope == scopeFollowers {
			at = now
		}
		begins := l.tolerance.initialTokens()
		b = &tokenPool{quota: l.tolerance.distributable(q), updatedAt: at, tokens: begins, initialTokens: begins, unreportedCount: l.unreportedCount, portions: map[string]*hostPortions{}}
		l.pools[name] = b
	}
	return b
}
