package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
)

// StartGranting makes this host the granter of a shard with the given fencing token. renewedAt is when the host last
// renewed its duty. The hosts in mayHold may hold portions from earlier granters, and the hosts in formerGranters may
// have been granters. reserveHolders are those that may hold reserves, or nil if any may. The caller must have recorded them, and this host, for a successor.
func (e *Enforcer) StartGranting(name string, token int64, renewedAt time.Time, mayHold, reserveHolders, formerGranters []string) {
	s := e.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := quota.NewGranter(token, e.settings.Tolerance, e.now(), mayHold, formerGranters)
	g.SetReserveHolders(reserveHolders)
	g.SetPortionShare(e.settings.PortionShare)
	g.Extend(renewedAt)
	s.SetGranter(g)
	s.reports = map[string]*reportState{}
	s.nextRequestAt = time.Time{}
	e.requestReports(s)
	e.log("granter_begins", "shard", name, "token", token, "may_hold", len(mayHold), "may_hold_reserves", len(reserveHolders), "before", len(formerGranters))
}

// ExtendGranting records that this host still held a shard's duty at the time heldAt.
func (e *Enforcer) ExtendGranting(name string, heldAt time.Time) {
	s := e.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.Granter(); g != nil {
		g.Extend(heldAt)
	}
}

// RaiseToken records that the fencing token of a shard's duty has risen.
func (e *Enforcer) RaiseToken(name string, token int64) {
	s := e.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.Granter(); g != nil {
		g.RaiseFencingToken(token)
	}
}

// StopGranting records that this host is no longer the granter of a shard. It grants nothing after StopGranting has
// returned.
func (e *Enforcer) StopGranting(name string) {
	s := e.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Granter() != nil {
		e.log("granter_ends", "shard", name)
	}
	s.SetGranter(nil)
}

// FormerGranters returns the hosts that may still regard themselves as the granter of a shard. ok is false if this
// host is not its granter.
func (e *Enforcer) FormerGranters(name string) (hosts []string, ok bool) {
	s := e.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.Granter()
	if g == nil {
		return nil, false
	}
	return g.FormerGranters(), true
}

// HandleRequest answers another host's request to this host as the granter of a shard.
func (e *Enforcer) HandleRequest(r Request) Response {
	s := e.shardByName(r.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	response, ok := e.handleRequest(s, r.Host, r.Process, r.Request)
	return Response{Declined: !ok, Response: response}
}

// handleRequest answers a request from another host or from this one. If the granter doesn't know a host, or has no
// report from its process, it declines the request and first records the host or requests a report. s.mu must be
// held.
func (e *Enforcer) handleRequest(s *shard, host, process string, req quota.Request) (quota.Response, bool) {
	g := s.Granter()
	if g == nil {
		return quota.Response{}, false
	}
	now := e.now()
	if host == e.settings.Host && g.KnowsHost(host) && !g.HasReported(host, process) {
		holdings, _ := s.Shard.Report(g.FencingToken(), now)
		g.RecordReport(host, process, holdings, now)
	}
	accounts := req.Accounts[:0:0]
	for _, a := range req.Accounts {
		known := false
		if a.Quota, known = e.quotaOf(a.Account); known && !a.Quota.Unlimited() {
			accounts = append(accounts, a)
		}
	}
	req.Accounts = accounts
	if response, ok := g.HandleRequest(host, process, req, now); ok {
		if g.ReserveHolders().Due(now) && !now.Before(s.nextHoldersAt) {
			e.recordGrantee(s, g, host)
		}
		return response, true
	}
	switch {
	case !g.KnowsHost(host):
		e.recordGrantee(s, g, host)
	case !g.HasReported(host, process):
		if state := s.reports[host]; state != nil {
			state.nextAt = now // the host has just shown that it answers
		}
		e.requestReport(s, g, host)
	}
	return quota.Response{}, false
}

// recordGrantee allows a new host to get portions, and reserve holders to get reserves, after recording them for a
// successor. s.mu must be held.
func (e *Enforcer) recordGrantee(s *shard, g *quota.Granter, host string) {
	if s.recording || e.now().Before(s.nextRecordAt) {
		return
	}
	s.recording = true
	holders := g.ReserveHolders().Prepare(e.now())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		recorded, err := e.fleet.RecordGrantee(ctx, s.name, host, holders)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recording = false
		if err != nil {
			s.nextRecordAt, s.nextHoldersAt = e.now().Add(recordRetryDelay), e.now().Add(holdersRetryDelay)
			e.log("grantee_not_entered", "shard", s.name, "peer", host, "err", err)
			return
		}
		g.AddHosts(recorded...)
		g.ReserveHolders().Recorded(holders)
		for _, id := range recorded {
			e.requestReport(s, g, id)
		}
	}()
}

// requestReports queries the hosts that have not reported their holdings, and those that have been quiet for
// quietHostTimeout. s.mu must be held.
func (e *Enforcer) requestReports(s *shard) {
	g := s.Granter()
	if g == nil {
		return
	}
	for _, host := range g.UnreportedHosts() {
		e.requestReport(s, g, host)
	}
	for _, host := range g.QuietHosts(e.now().Add(-quietHostTimeout)) {
		e.requestReport(s, g, host)
	}
}

// requestReport asks a host for a report of its holdings. s.mu must be held.
func (e *Enforcer) requestReport(s *shard, g *quota.Granter, host string) {
	if host == e.settings.Host {
		holdings, _ := s.Shard.Report(g.FencingToken(), e.now())
		g.RecordReport(host, e.settings.Process, holdings, e.now())
		return
	}
	t := s.reports[host]
	if t == nil {
		t = &reportState{}
		s.reports[host] = t
	}
	if t.pending || e.now().Before(t.nextAt) {
		return
	}
	t.pending = true
	r := ReportRequest{s.name, e.settings.Host, g.FencingToken()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		var response ReportResponse
		peer, addr, err := e.fleet.Peer(host)
		if err == nil {
			response, err = peer.TellQuota(ctx, addr, r)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		e.handleReport(s, g, host, t, response, err)
	}()
}

// handleReport handles a host's response to a report request, or its failure. s.mu must be held.
func (e *Enforcer) handleReport(s *shard, g *quota.Granter, host string, t *reportState, response ReportResponse, err error) {
	now := e.now()
	t.pending = false
	switch {
	case s.Granter() != g:
		return
	case err == nil && !response.Declined:
		known := g.HoldingsKnown(now)
		g.RecordReport(host, response.Process, response.Holdings, now)
		t.nextAt, t.backoff = now.Add(initialReportBackoff), 0
		if !known && g.HoldingsKnown(now) {
			e.log("grants_known", "shard", s.name)
		}
		return
	case err == nil:
		e.log("granter_outlived", "shard", s.name, "peer", host, "token", g.FencingToken())
	case e.fleet.IsProcessEnded(err):
		g.RecordExit(host, now)
	}
	limit := maxReportBackoff
	if !g.HoldingsKnown(now) {
		limit = neededReportBackoff
	}
	t.backoff = min(max(2*t.backoff, initialReportBackoff), limit)
	t.nextAt = now.Add(t.backoff)
}
