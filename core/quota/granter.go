package quota

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/leadership"
	"pearlatch/core/quota/holder"
	"pearlatch/core/quota/share"
	"pearlatch/core/quota/waiting"
)

// Granter distributes the tokens of a group of accounts, and tracks what it has granted. Use NewGranter. It is not safe
// for concurrent use.
type Granter struct {
	// firstFencingToken is the fencing token with which this granter started, and fencingToken its current one. Requests
	// with a token in this range are for this granter.
	firstFencingToken, fencingToken int64
	tolerance                       Tolerance
	share                           share.Portions
	startedAt                       time.Time
	// soleUntil is the time before which no successor can have started. endsAt is when this granter stops answering
	// requests.
	soleUntil, endsAt time.Time
	// formerGranters holds the hosts that were granters before and may still believe that they are.
	formerGranters map[string]bool
	// scope is what this granter may distribute, since scopeSince.
	scope      distributionScope
	scopeSince time.Time
	// hosts holds all hosts that may hold portions or were granters before.
	hosts map[string]*host
	// unreported counts the hosts that have not reported their holdings. allReportedAt is when the last of them did, or
	// zero.
	unreported    holder.Unreported
	allReportedAt time.Time
	pools         map[string]*tokenPool
	// reserves holds the hosts that may hold reserves.
	reserves *holder.Registry
	// suspended holds the hosts whose portions count as suspended.
	suspended map[string]*host
}

// host is a host that may hold portions.
type host struct {
	// process is the one that reported last, or empty. Portions of an earlier process ended with it.
	process string
	// unreported is true until the host reports what it holds from earlier granters, or its process has certainly
	// ended.
	unreported bool
	// mayHoldReserve is true if the host may hold reserves from earlier granters.
	mayHoldReserve bool
	// reportedAt is when the process first reported. heardAt is when it last reported or sent a request.
	reportedAt, heardAt time.Time
	// lastRequest is the ID of the host's last request. suspendSent is true if the response to it, sent at
	// suspendSentAt, suspended the host's portions. They count as active after suspension, if the host confirms it.
	lastRequest   uint64
	suspendSent   bool
	suspendSentAt time.Time
	suspension    time.Duration
	// suspendedUntil is the time until which the host's portions are certainly suspended. active is true if they
	// count as active.
	suspendedUntil time.Time
	active         bool
	// accounts names the accounts of which the host may hold portions.
	accounts map[string]bool
}

// NewGranter returns a granter with the given fencing token that starts now. The hosts in mayHold may hold portions
// from earlier granters. The hosts in formerGranters were granters before and may still believe that they are.
func NewGranter(fencingToken int64, t Tolerance, now time.Time, mayHold, formerGranters []string) *Granter {
	g := &Granter{
		firstFencingToken: fencingToken, fencingToken: fencingToken, tolerance: t, startedAt: now, scopeSince: now, formerGranters: map[string]bool{},
		hosts: map[string]*host{}, pools: map[string]*tokenPool{}, suspended: map[string]*host{},
	}
	for _, id := range formerGranters {
		g.formerGranters[id] = true
	}
	for _, id := range slices.Concat(mayHold, formerGranters) {
		g.hosts[id] = &host{unreported: true, active: true, accounts: map[string]bool{}}
	}
	g.SetReserveHolders(nil)
	if len(g.hosts) == 0 {
		g.allReportedAt = now
	}
	g.Extend(now)
	g.scope = g.scopeAt(now)
	return g
}

// SetPortionShare sets the fraction of each quota that the granter grants as portions. It must precede all requests and
// reports.
func (g *Granter) SetPortionShare(p share.Portions) { g.share = p }

// scopeAt returns what this granter may distribute at a time. A former granter may have lost its role without knowing
// it, so it is assumed to continue until it has reported, or for as long as it can rely on the role.
func (g *Granter) scopeAt(now time.Time) distributionScope {
	switch {
	case !now.Before(g.soleUntil):
		return scopeFollowers
	case g.HoldingsKnown(now):
		return scopeEntire
	case len(g.formerGranters) == 0 || !now.Before(g.startedAt.Add(leadership.RoleValidity+maxClockDrift)):
		return scopeUnreserved
	}
	return scopeFollowers
}

// updateScope sets what the granter may distribute from now on. Tokens for the time until now are added under the
// smaller of the old and the new scope.
func (g *Granter) updateScope(now time.Time) {
	s := g.scopeAt(now)
	if s == g.scope {
		return
	}
	if s == scopeUnreserved {
		clear(g.formerGranters) // they have certainly noticed that they lost the role
	}
	for _, pool := range g.pools {
		pool.refill(now, min(s, g.scope))
	}
	g.scope, g.scopeSince = s, now
}

// FencingToken returns the granter's fencing token.
func (g *Granter) FencingToken() int64 { return g.fencingToken }

// RaiseFencingToken records that the granter's fencing token has risen.
func (g *Granter) RaiseFencingToken(fencingToken int64) {
	g.fencingToken = max(g.fencingToken, fencingToken)
}

// Extend records that the granter held its role at the given time, so that no successor starts within
// leadership.RoleValidity of it. For the rest of PortionTTL the granter distributes only what its followers'
// portions leave unused.
func (g *Granter) Extend(heldAt time.Time) {
	g.soleUntil, g.endsAt = heldAt.Add(leadership.RoleValidity), heldAt.Add(PortionTTL)
}

// KnowsHost reports whether the host may be given portions. Only hosts that a successor will query may be.
func (g *Granter) KnowsHost(id string) bool { return g.hosts[id] != nil }

// AddHosts allows more hosts to be given portions. The caller must first record the hosts where a successor finds them.
func (g *Granter) AddHosts(ids ...string) {
	for _, id := range ids {
		if g.hosts[id] == nil {
			g.hosts[id] = &host{active: true, accounts: map[string]bool{}}
		}
	}
}

// FormerGranters returns the hosts that may still believe that they are the granter, sorted.
func (g *Granter) FormerGranters() []string { return slices.Sorted(maps.Keys(g.formerGranters)) }

// UnreportedHosts returns the hosts that have not reported their holdings, sorted.
func (g *Granter) UnreportedHosts() []string {
	var out []string
	for id, h := range g.hosts {
		if h.unreported {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// QuietHosts returns the hosts that hold portions and have not been heard from since the given time, sorted. Their
// processes may have ended.
func (g *Granter) QuietHosts(since time.Time) []string {
	var out []string
	for id, h := range g.hosts {
		if len(h.accounts) > 0 && h.heardAt.Before(since) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RecordExit records that the host's process has certainly ended and holds nothing.
func (g *Granter) RecordExit(id string, now time.Time) {
	h := g.hosts[id]
	if h == nil {
		return
	}
	g.updateScope(now)
	for name := range h.accounts {
		g.pools[name].refill(now, g.scope)
		g.pools[name].removePortions(id)
	}
	clear(h.accounts)
	delete(g.suspended, id)
	delete(g.formerGranters, id)
	h.process, h.active, h.suspendedUntil = "", true, time.Time{}
	if !h.unreported {
		return
	}
	h.unreported = false
	if g.unreported.Add(h.mayHoldReserve, -1); g.unreported == (holder.Unreported{}) {
		g.allReportedAt = now
	}
	g.updateScope(now)
	for _, pool := range g.pools {
		pool.refill(now, g.scope)
		pool.unreported = g.unreported
	}
}

// RecordReport records what a process of a host holds from earlier granters. The process accepts nothing more from these
// granters once it has reported. The report must be the reply to a query by this granter, so that processes of a host
// are seen in the order in which they ran.
func (g *Granter) RecordReport(id, process string, holds []Holding, now time.Time) {
	h := g.hosts[id]
	if h == nil {
		return
	}
	if h.process == process {
		h.heardAt = now // the holdings from this granter are already recorded
		return
	}
	g.RecordExit(id, now)
	h.process, h.reportedAt, h.heardAt, h.lastRequest, h.suspendSent, h.suspendedUntil, h.active = process, now, now, 0, false, time.Time{}, true
	for _, each := range holds {
		pool := g.pool(each.Account, account.Quota{}, now)
		pool.refill(now, g.scope)
		pool.setPortions(id, hostPortions{held: each.Portion, offered: each.Portion, active: true, expiresAt: now.Add(each.TTL + maxClockDrift), demand: each.Portion.Rate / portionHeadroom})
		pool.lastSerial = max(pool.lastSerial, each.Portion.Serial)
		h.accounts[each.Account] = true
	}
}

// HasReported reports whether the given process of the host has reported its holdings.
func (g *Granter) HasReported(id, process string) bool {
	h := g.hosts[id]
	return h != nil && !h.unreported && h.process == process
}

// HandleRequest answers a request from a process of a host. It returns false if the host follows another granter, if the
// process has not reported its holdings, if the request is not newer than the last one, or if this granter has
// stopped answering requests.
func (g *Granter) HandleRequest(id, process string, req Request, now time.Time) (Response, bool) {
	h := g.hosts[id]
	if h == nil || h.unreported || h.process != process || req.ID <= h.lastRequest || req.FencingToken < g.firstFencingToken || req.FencingToken > g.fencingToken || !now.Before(g.endsAt) {
		return Response{}, false
	}
	g.updateScope(now)
	g.activateExpired(now)
	if req.LastAnswered == h.lastRequest && h.suspendSent {
		// The host counts from when it sent the request, which is slightly earlier.
		h.suspendedUntil = h.suspendSentAt.Add(h.suspension)
		g.suspend(id, h, now)
	}
	known := g.HoldingsKnown(now)
	// An earlier granter may still count the host's portions as suspended, and distribute the tokens that they leave
	// unused. A reserve holder serves the callers of other hosts until all holdings are known.
	suspend := known || now.Sub(h.reportedAt) >= assumeActiveAfter && req.KeepaliveInterval == 0
	h.heardAt, h.lastRequest, h.suspendSent, h.suspendSentAt = now, req.ID, suspend, now
	out := Response{Suspended: suspend, Partial: !known, Grants: make([]Grant, len(req.Accounts))}
	out.ActivateAfter, h.suspension = suspension(req.KeepaliveInterval)
	for i, a := range req.Accounts {
		h.accounts[a.Account] = true
		out.Grants[i] = g.handleAccount(id, h, a, known, now)
	}
	return out, true
}

// suspend counts the host's portions as suspended.
func (g *Granter) suspend(id string, h *host, now time.Time) {
	if !h.active || !now.Before(h.suspendedUntil) {
		return
	}
	h.active = false
	g.suspended[id] = h
	for name := range h.accounts {
		g.pools[name].setActive(id, false, now, g.scope)
	}
}

// activateExpired counts the portions of hosts whose suspension has expired as active.
func (g *Granter) activateExpired(now time.Time) {
	for id, h := range g.suspended {
		if now.Before(h.suspendedUntil) {
			continue
		}
		h.active = true
		delete(g.suspended, id)
		for name := range h.accounts {
			g.pools[name].setActive(id, true, h.suspendedUntil, g.scope)
		}
	}
}

// handleAccount answers a host's request for one account. known is true if the holdings of all hosts are known.
func (g *Granter) handleAccount(id string, h *host, req AccountRequest, known bool, now time.Time) Grant {
	pool := g.pool(req.Account, req.Quota, now)
	pool.quota = g.tolerance.Distributable(req.Quota)
	pool.refill(now, g.scope)
	if known {
		pool.prune(now)
	}
	req.Reserve = g.reserves.Request(id, req.Reserve, known, now)
	pool.othersLimited = g.reserves.Limited()
	p := hostPortions{}
	if existing := pool.portions[id]; existing != nil {
		p = *existing
	}
	p.active = h.active
	p.applyRequest(req)
	pool.tokens += float64(req.Returned)
	pool.setPortions(id, p)
	out := g.renewPortion(pool, &p, req, known, now)
	if req.Reserve > 0 {
		g.reserves.Offer(id, p.expiresAt)
	}
	pool.setPortions(id, p)
	pool.clampTokens(g.scope)
	out.Tokens, out.Prefetched = pool.takeTokens(req.Waiting, min(req.Prefetch, p.offered.Cap-req.Tokens))
	p.tokens += out.Prefetched
	pool.setPortions(id, p)
	if out.Tokens < req.Waiting {
		out.RetryAfter, out.Interval = pool.expect(req.Waiting-out.Tokens, g.scope, now)
		if g.scope == scopeFollowers && now.Before(g.soleUntil) {
			// By then this granter is the only one.
			out.RetryAfter = min(out.RetryAfter, max(waiting.MinRetryAfter, g.startedAt.Add(leadership.RoleValidity+maxClockDrift).Sub(now)))
		}
	}
	return out
}

// renewPortion offers the host a new portion. known is true if the holdings of all hosts are known.
func (g *Granter) renewPortion(pool *tokenPool, p *hostPortions, req AccountRequest, known bool, now time.Time) Grant {
	p.offered = pool.nextPortion(p, known)
	pool.lastSerial++
	p.offered.Serial = pool.lastSerial
	ttl := min(PortionTTL, g.endsAt.Sub(now))
	if known || p.expiresAt.IsZero() {
		p.expiresAt = now.Add(ttl + maxClockDrift)
	} else {
		// Earlier granters that do not know of this one rely on the portion's expiry.
		ttl = min(ttl, p.expiresAt.Sub(now)-maxClockDrift)
	}
	return Grant{Account: req.Account, Serial: p.offered.Serial, Rate: p.offered.Rate, Cap: p.offered.Cap, TTL: ttl}
}

// HoldingsKnown reports whether the granter knows what all hosts hold: all hosts have reported, or the portions from
// earlier granters have expired.
func (g *Granter) HoldingsKnown(now time.Time) bool { return !now.Before(g.holdingsKnownAt()) }

// holdingsKnownAt returns when the holdings are known, as far as can be told now.
func (g *Granter) holdingsKnownAt() time.Time {
	end := g.startedAt.Add(PortionTTL + maxClockDrift)
	if g.allReportedAt.IsZero() || end.Before(g.allReportedAt) {
		return end
	}
	return g.allReportedAt
}

// pool returns the pool of an account, and creates it on first use. A new pool has accumulated tokens for as long as the
// granter could distribute them.
func (g *Granter) pool(name string, q account.Quota, now time.Time) *tokenPool {
	pool := g.pools[name]
	if pool == nil {
		at := g.scopeSince
		if g.scope == scopeFollowers {
			at = now
		}
		initial := g.tolerance.InitialTokens()
		pool = &tokenPool{share: g.share, quota: g.tolerance.Distributable(q), updatedAt: at, tokens: initial, initialTokens: initial, unreported: g.unreported, portions: map[string]*hostPortions{}}
		g.pools[name] = pool
	}
	return pool
}
