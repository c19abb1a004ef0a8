package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
)

// sendRequest sends a request to the granter of a shard, if one is due and none is in progress. s.mu must be held.
func (e *Enforcer) sendRequest(s *shard) {
	now := e.now()
	if s.requestPending || now.Before(s.nextRequestAt) {
		return
	}
	host, token, ok := e.fleet.Granter(s.name)
	if !ok {
		e.recordLoss(s, now, "cause", "no granter is known")
		return
	}
	s.Follow(token)
	if host != e.settings.Host && e.fleet.IsSuspect(host) {
		// Operations ask reserve holders without waiting for the granter.
		e.recordLoss(s, now, "token", token, "cause", "its host does not answer other requests")
	}
	req, ok := s.NextRequest(now)
	if !ok {
		return
	}
	if host == e.settings.Host {
		response, ok := e.handleRequest(s, e.settings.Host, e.settings.Process, req)
		e.handleResponse(s, req, Response{Declined: !ok, Response: response}, nil)
		return
	}
	s.requestPending = true
	go e.requestFrom(s, host, req)
}

func (e *Enforcer) requestFrom(s *shard, host string, req quota.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var response Response
	peer, addr, err := e.fleet.Peer(host)
	if err == nil {
		response, err = peer.RequestQuota(ctx, addr, Request{s.name, e.settings.Host, e.settings.Process, req})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestPending = false
	e.handleResponse(s, req, response, err)
	e.sendRequest(s) // operations may have arrived meanwhile
}

// handleResponse handles a response from the granter, or the failure of a request. s.mu must be held.
func (e *Enforcer) handleResponse(s *shard, req quota.Request, response Response, err error) {
	now, failingSince := e.now(), s.FailingSince()
	if err == nil && !response.Declined && s.HandleResponse(req.ID, req.FencingToken, response.Response, now) {
		if !failingSince.IsZero() {
			e.log("granter_regained", "shard", s.name, "after_ms", now.Sub(failingSince).Milliseconds(), "reserve_requests", s.reserveAsks, "reserve_tokens", s.reserveTokens)
			s.reserveAsks, s.reserveTokens = 0, 0
		}
		tokens := 0.0
		for _, g := range response.Response.Grants {
			tokens += float64(g.Tokens) + g.Prefetched
		}
		e.countTokens("granter", int64(tokens))
		if response.Response.Partial || !response.Response.Suspended {
			e.updateHolders(s)
		}
		s.nextRequestAt = time.Time{}
		s.notify()
		return
	}
	e.recordLoss(s, now, "token", req.FencingToken, "declined", response.Declined, "err", err)
	s.Abandon(req.ID, now)
	s.nextRequestAt = now.Add(requestRetryDelay)
	time.AfterFunc(requestRetryDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notify()
	})
}

// recordLoss records that the granter does not respond. s.mu must be held.
func (e *Enforcer) recordLoss(s *shard, now time.Time, details ...any) {
	if s.FailingSince().IsZero() {
		e.log("granter_lost", append([]any{"shard", s.name}, details...)...)
	}
	s.RecordNoGranter(now)
	e.updateHolders(s)
}

// HandleReportRequest answers a granter that requests a report of this host's holdings.
func (e *Enforcer) HandleReportRequest(r ReportRequest) ReportResponse {
	s := e.shardByName(r.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	wasGranter := s.Granter() != nil
	holdings, ok := s.Shard.Report(r.Token, e.now())
	if wasGranter && s.Granter() == nil {
		e.log("granter_ends", "shard", s.name, "successor", r.Host, "token", r.Token)
	}
	return ReportResponse{Process: e.settings.Process, Declined: !ok, Holdings: holdings}
}

func (e *Enforcer) log(event string, fields ...any) {
	_ = e.logger.Log(append([]any{"event", event}, fields...)...)
}
