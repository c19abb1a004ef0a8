package quotas

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/account"
	"pearlatch/core/quota"
	"pearlatch/core/quota/reserve"
)

// reserveScan is the state of the search for the accounts of which this host is to hold reserves. It is repeated when the
// accounts, the shards, the list of hosts or a granter change, and does a bounded part of its work in each maintenance
// round. Only Run uses it.
type reserveScan struct {
	accounts *account.Directory
	// version is the fleet's version for which the search started.
	version uint64
	// left holds the names of the accounts that are still to be looked at.
	left []string
	// granters holds the granters of the shards for which this host may hold reserves, and fractions the fractions of the
	// quotas that it holds. counts holds the number of accounts.
	granters  map[string]string
	fractions map[string]float64
	counts    map[string]int
	// found holds the accounts found by this search, or is nil once it has ended. reserved holds those of which reserves
	// are requested. Both hold the accounts' shards.
	found, reserved map[string]string
}

// assignReserves makes this host request reserves of the accounts for which it is a reserve holder.
func (e *Enforcer) assignReserves() {
	r := &e.reserves
	e.mu.Lock()
	stale := e.reservesStale
	e.reservesStale, r.accounts = false, e.accounts
	e.mu.Unlock()
	if version := e.fleet.Version(); stale || version != r.version || e.granterChanged() {
		*r = reserveScan{
			accounts: r.accounts, version: version, reserved: r.reserved, found: map[string]string{},
			granters: map[string]string{}, fractions: map[string]float64{}, counts: map[string]int{},
		}
		if r.accounts != nil {
			r.left = r.accounts.Names()
		}
	}
	if r.found == nil {
		return
	}
	for budget := reserveScanHashes; len(r.left) > 0 && budget > 0; r.left = r.left[1:] {
		budget -= e.assignReserve(r.left[0], r.accounts.Account(r.left[0]).Quota)
	}
	if len(r.left) > 0 {
		return
	}
	for name, shard := range r.reserved {
		if r.found[name] != shard {
			e.setReserve(shard, name, account.Quota{}, 0)
		}
	}
	r.reserved, r.found = r.found, nil
	e.setKeepaliveIntervals()
}

// setKeepaliveIntervals sets the keepalive interval of all shards of which this host holds reserves.
func (e *Enforcer) setKeepaliveIntervals() {
	shards := map[string]bool{}
	for _, shard := range e.reserves.reserved {
		shards[shard] = true
	}
	interval := quota.ReserveKeepaliveInterval
	if len(shards) > maxFrequentShards {
		// Since keepalives are sent in maintenance rounds, the interval ends between two of them.
		interval += (interval * time.Duration(len(shards)-1)).Round(maintenanceInterval)
	}
	for name := range shards {
		s := e.shardByName(name)
		s.mu.Lock()
		s.SetKeepaliveInterval(interval)
		s.mu.Unlock()
	}
}

// granterChanged reports whether the granter of a shard for which this host may hold reserves has changed.
func (e *Enforcer) granterChanged() bool {
	for shard, granter := range e.reserves.granters {
		if id, _, _ := e.fleet.Granter(shard); id != granter {
			return true
		}
	}
	return false
}

// assignReserve makes this host request a reserve of one account if it is a reserve holder. It returns the number of
// hashes that it computed, at least one.
func (e *Enforcer) assignReserve(name string, q account.Quota) (hashes int) {
	shard, hashes := e.shardNameAndCost(name)
	r := &e.reserves
	if shard == "" || q.Unlimited() || r.counts[shard] >= maxReserveAccounts {
		return hashes
	}
	fraction, known := r.fractions[shard]
	if !known {
		if e.fleet.IsCandidate(shard) {
			r.granters[shard], _, _ = e.fleet.Granter(shard)
			// A single host has no others to serve.
			if ids := e.reserveHolders(shard); len(ids) > 1 && slices.Contains(ids, e.settings.Host) {
				fraction = quota.ReserveFraction(len(ids))
			}
		}
		r.fractions[shard] = fraction
	}
	if fraction > 0 {
		r.counts[shard]++
		r.found[name] = shard
		e.setReserve(shard, name, q, fraction)
	}
	return hashes
}

// shardNameAndCost returns the name of an account's shard and the number of hashes needed for it, at least one.
func (e *Enforcer) shardNameAndCost(name string) (shard string, hashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shardNameOf[name] == "" {
		hashes = len(e.shardNames)
	}
	return e.shardName(name), 1 + hashes
}

// reserveHolders returns the hosts that hold reserves of a shard: the first ranked ones but for the granter, with which a
// reserve would be lost.
func (e *Enforcer) reserveHolders(shard string) []string {
	granter, _, _ := e.fleet.Granter(shard)
	out := slices.DeleteFunc(e.fleet.ReserveCandidates(shard), func(id string) bool { return id == granter })
	return out[:min(len(out), reserve.MaxHolders)]
}

// setReserve sets the fraction of an account's quota that this host holds for others.
func (e *Enforcer) setReserve(shard, name string, q account.Quota, fraction float64) {
	s := e.shardByName(shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.SetReserve(name, q, fraction, e.now())
}

// requestReserve sends a request to a reserve holder of a shard, if one is due and none is in progress. s.mu must be held.
func (e *Enforcer) requestReserve(s *shard) {
	now := e.now()
	if !s.HoldersNeeded(now) {
		return
	}
	e.updateHolders(s)
	holder, req, ok := s.NextReserveRequest(now)
	if !ok {
		return
	}
	s.reserveAsks++
	if now.Sub(s.reserveLoggedAt) >= reserveLogInterval {
		s.reserveLoggedAt = now
		e.log("reserve_requested", "shard", s.name, "peer", holder, "accounts", len(req.Accounts), "granter_lost", !s.FailingSince().IsZero())
	}
	go e.requestReserveFrom(s, holder, req)
}

// updateHolders sets the reserve holders of a shard if they may have changed. The order depends on this host's ID, so that
// hosts spread over the holders. Hosts that did not answer lately come last. s.mu must be held.
func (e *Enforcer) updateHolders(s *shard) {
	version := holdersVersion{fleet: e.fleet.Version(), known: true}
	version.granter, _, _ = e.fleet.Granter(s.name)
	if s.holdersVersion == version {
		return
	}
	s.holdersVersion = version
	holders := slices.DeleteFunc(e.reserveHolders(s.name), func(id string) bool { return id == e.settings.Host })
	if n := len(holders); n > 0 {
		first := int(xxhash.Sum64String(e.settings.Host) % uint64(n))
		holders = slices.Concat(holders[first:], holders[:first])
	}
	slices.SortStableFunc(holders, func(a, b string) int { return cmp.Compare(e.suspicion(a), e.suspicion(b)) })
	s.SetReserveHolders(holders)
}

// suspicion returns 1 for a host that did not answer lately, and 0 for all others.
func (e *Enforcer) suspicion(host string) int {
	if e.fleet.IsSuspect(host) {
		return 1
	}
	return 0
}

func (e *Enforcer) requestReserveFrom(s *shard, holder string, req reserve.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	late := time.AfterFunc(reserve.Timeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.requestReserve(s) // asks another holder meanwhile
	})
	defer late.Stop()
	var reply reserve.Reply
	peer, addr, err := e.fleet.Peer(holder)
	if err == nil {
		reply, err = peer.RequestReserve(ctx, addr, ReserveRequest{s.name, e.settings.Host, e.settings.Process, req})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.AbandonReserve(req.ID, e.now())
	} else {
		n := s.HandleReserveReply(req.ID, reply, e.now())
		s.reserveTokens += n
		e.countTokens("reserve", int64(n))
	}
	s.notify()
	e.requestReserve(s) // for operations for which another holder may be asked, and those that have arrived meanwhile
}

// HandleReserveRequest gives tokens that this host holds to another host.
func (e *Enforcer) HandleReserveRequest(r ReserveRequest) reserve.Reply {
	s := e.shardByName(r.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Give(r.Request, e.quotaOf, e.now())
}

// countTokens counts tokens received from the granter or from a reserve holder.
func (e *Enforcer) countTokens(source string, n int64) {
	if e.settings.Metrics != nil && n > 0 {
		metrics.GetOrRegisterCounter(fmt.Sprintf("quota_tokens_total{source=%q}", source), e.settings.Metrics).Inc(n)
	}
}
