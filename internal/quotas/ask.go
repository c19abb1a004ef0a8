package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
)

// sendRequest asks the granter of a shard, if there is something to sendRequest and no question under way. The shard's lock is
// held.
func (k *Enforcer) sendRequest(s *shard) {
	now := k.now()
	if s.requestPending || now.Before(s.nextRequestAt) {
		return
	}
	host, token, ok := k.fleet.Granter(s.name)
	if !ok {
		return
	}
	s.Follow(token)
	in, ok := s.NextRequest(now)
	if !ok {
		return
	}
	if host == k.settings.Host {
		answer, ok := k.handleRequest(s, k.settings.Host, k.settings.Process, in)
		k.handleResponse(s, in, Response{Declined: !ok, Response: answer}, nil)
		return
	}
	s.requestPending = true
	go k.requestFrom(s, host, in)
}

func (k *Enforcer) requestFrom(s *shard, host string, in quota.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	reply, err := k.fleet.RequestTokens(ctx, host, Request{s.name, k.settings.Host, k.settings.Process, in})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestPending = false
	k.handleResponse(s, in, reply, err)
	k.sendRequest(s) // for those that have come meanwhile
}

// handleResponse takes over an answer, or that there is none. The shard's lock is held.
func (k *Enforcer) handleResponse(s *shard, in quota.Request, reply Response, err error) {
	now := k.now()
	if err == nil && !reply.Declined && s.HandleResponse(in.ID, in.FencingToken, reply.Response, now) {
		if !s.failingSince.IsZero() {
			k.log("granter_regained", "shard", s.name, "after_ms", now.Sub(s.failingSince).Milliseconds())
		}
		s.failingSince, s.nextRequestAt = time.Time{}, time.Time{}
		s.notify()
		return
	}
	s.Abandon(in.ID)
	if s.failingSince.IsZero() {
		s.failingSince = now
		k.log("granter_lost", "shard", s.name, "token", in.FencingToken, "declined", reply.Declined, "err", err)
	}
	s.nextRequestAt = now.Add(requestRetryDelay)
	time.AfterFunc(requestRetryDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notify()
	})
}

// HandleReportRequest answers a granter that asks what this host holds.
func (k *Enforcer) HandleReportRequest(r ReportRequest) ReportResponse {
	s := k.shardByName(r.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.Granter() != nil
	holds, ok := s.Shard.Report(r.Token, k.now())
	if granted && s.Granter() == nil {
		k.log("granter_ends", "shard", s.name, "successor", r.Host, "token", r.Token)
	}
	return ReportResponse{Process: k.settings.Process, Declined: !ok, Holdings: holds}
}

func (k *Enforcer) log(event string, fields ...any) {
	_ = k.logger.Log(append([]any{"event", event}, fields...)...)
}
