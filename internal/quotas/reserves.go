package quotas

import (
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/account"
	"pearlatch/core/quota"
	"pearlatch/core/quota/reserve"
)

// reserveScan is the state of the search for the accounts of which this host is to hold reserves. It is repeated when the
// accounts, the shards or the list of hosts change, and does a bounded part of its work in each maintenance round.
type reserveScan struct {
	// stale is true if the search is to start again. version is the fleet's version for which it started.
	stale   bool
	version uint64
	// left holds the names of the accounts that are still to be looked at.
	left []string
	// fractions holds, by shard, the fraction of the quotas that this host holds. counts holds the number of accounts.
	fractions map[string]float64
	counts    map[string]int
	// found holds the accounts found by this search, and reserved all of which reserves are requested, with their shards.
	found, reserved map[string]string
}

// reserveChange is a change of the fraction of an account's quota that this host holds for others.
type reserveChange struct {
	shard    *shard
	name     string
	quota    account.Quota
	fraction float64
}

// assignReserves makes this host request reserves of the accounts for which it is a reserve holder.
func (e *Enforcer) assignReserves() {
	for _, c := range e.reserveChanges() {
		c.shard.mu.Lock()
		c.shard.SetReserve(c.name, c.quota, c.fraction, e.now())
		c.shard.mu.Unlock()
	}
}

// reserveChanges returns the changes found in one round of the search.
func (e *Enforcer) reserveChanges() []reserveChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.reserves
	if version := e.fleet.Version(); r.stale || version != r.version {
		*r = reserveScan{version: version, fractions: map[string]float64{}, counts: map[string]int{}, found: map[string]string{}, reserved: r.reserved}
		if e.accounts != nil {
			r.left = e.accounts.Names()
		}
	} else if r.found == nil {
		return nil
	}
	var out []reserveChange
	for budget := reserveScanHashes; len(r.left) > 0 && budget > 0; r.left = r.left[1:] {
		name := r.left[0]
		if budget--; e.shardNameOf[name] == "" {
			budget -= len(e.shardNames)
		}
		q := e.accounts.Account(name).Quota
		if shard, fraction := e.reserveOf(name, q); fraction > 0 {
			r.found[name] = shard
			out = append(out, reserveChange{e.getOrCreateShard(shard), name, q, fraction})
		}
	}
	if len(r.left) > 0 {
		return out
	}
	for name, shard := range r.reserved {
		if r.found[name] != shard {
			out = append(out, reserveChange{shard: e.getOrCreateShard(shard), name: name})
		}
	}
	r.reserved, r.found = r.found, nil
	return out
}

// reserveOf returns an account's shard and the fraction of its quota that this host is to hold for others. e.mu must be
// held.
func (e *Enforcer) reserveOf(name string, q account.Quota) (shard string, fraction float64) {
	shard, r := e.shardName(name), &e.reserves
	if shard == "" || q.Unlimited() || r.counts[shard] >= maxReserveAccounts {
		return shard, 0
	}
	fraction, known := r.fractions[shard]
	if !known {
		// A single host has no others to serve.
		if e.fleet.IsCandidate(shard) {
			if ids := e.fleet.ReserveHolders(shard); len(ids) > 1 && slices.Contains(ids, e.settings.Host) {
				fraction = quota.ReserveFraction(len(ids))
			}
		}
		r.fractions[shard] = fraction
	}
	r.counts[shard]++
	return shard, fraction
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
// hosts spread over the holders. s.mu must be held.
func (e *Enforcer) updateHolders(s *shard) {
	version := e.fleet.Version() + 1 // zero means that the holders were never set
	if s.holdersVersion == version {
		return
	}
	s.holdersVersion = version
	holders := slices.Clone(e.fleet.ReserveHolders(s.name))
	holders = slices.DeleteFunc(holders, func(id string) bool { return id == e.settings.Host })
	if n := len(holders); n > 0 {
		first := int(xxhash.Sum64String(e.settings.Host) % uint64(n))
		holders = slices.Concat(holders[first:], holders[:first])
	}
	s.SetReserveHolders(holders)
}

func (e *Enforcer) requestReserveFrom(s *shard, holder string, req reserve.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), reserve.Timeout)
	defer cancel()
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
