package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
)

// StartGranting makes this host the granter of a shard under a fencing token. The hosts named may hold portions of earlier
// granters, and those before may have been one. A successor will know of them, and of this host.
func (k *Enforcer) StartGranting(name string, token int64, held time.Time, mayHold, before []string) {
	s := k.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := quota.NewGranter(token, k.settings.Tolerance, k.now(), mayHold, before)
	l.Extend(held)
	s.SetGranter(l)
	s.reports = map[string]*reportState{}
	s.nextRequestAt = time.Time{}
	k.log("granter_begins", "shard", name, "token", token, "may_hold", len(mayHold), "before", len(before))
}

// ExtendGranting records that this host still held a shard's duty at a time, and Raised that its token has risen.
func (k *Enforcer) ExtendGranting(name string, held time.Time) {
	s := k.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.Granter(); l != nil {
		l.Extend(held)
	}
}

// RaiseToken is described with Renewed.
func (k *Enforcer) RaiseToken(name string, token int64) {
	s := k.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.Granter(); l != nil {
		l.RaiseFencingToken(token)
	}
}

// StopGranting records that this host is the granter of a shard no more. Nothing is handed out once it returns.
func (k *Enforcer) StopGranting(name string) {
	s := k.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Granter() != nil {
		k.log("granter_ends", "shard", name)
	}
	s.SetGranter(nil)
}

// FormerGranters returns the hosts that may still take themselves for the granter of a shard. ok is false if this host is not
// its granter.
func (k *Enforcer) FormerGranters(name string) (hosts []string, ok bool) {
	s := k.shardByName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.Granter()
	if l == nil {
		return nil, false
	}
	return l.FormerGranters(), true
}

// HandleRequest answers a host that asks this one as the granter of a shard.
func (k *Enforcer) HandleRequest(r Request) Response {
	s := k.shardByName(r.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, ok := k.handleRequest(s, r.Host, r.Process, r.Request)
	return Response{Declined: !ok, Response: answer}
}

// handleRequest answers a host, this one as well. One that the ledger does not know well enough is asked what it holds
// first. The shard's lock is held.
func (k *Enforcer) handleRequest(s *shard, host, process string, in quota.Request) (quota.Response, bool) {
	l := s.Granter()
	if l == nil {
		return quota.Response{}, false
	}
	now := k.now()
	if host == k.settings.Host && l.KnowsHost(host) && !l.HasReported(host, process) {
		holds, _ := s.Shard.Report(l.FencingToken(), now)
		l.RecordReport(host, process, holds, now)
	}
	questions := in.Accounts[:0:0]
	for _, q := range in.Accounts {
		known := false
		if q.Quota, known = k.quotaOf(q.Account); known && !q.Quota.Unlimited() {
			questions = append(questions, q)
		}
	}
	in.Accounts = questions
	if out, ok := l.HandleRequest(host, process, in, now); ok {
		return out, true
	}
	switch {
	case !l.KnowsHost(host):
		k.recordGrantee(s, l, host)
	case !l.HasReported(host, process):
		k.requestReport(s, l, host)
	}
	return quota.Response{}, false
}

// recordGrantee lets hosts get portions that are new to the fleet, once a successor will know of them. The shard's lock is
// held.
func (k *Enforcer) recordGrantee(s *shard, l *quota.Granter, host string) {
	if s.recording || k.now().Before(s.nextRecordAt) {
		return
	}
	s.recording = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		entered, err := k.fleet.RecordGrantee(ctx, s.name, host)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recording = false
		if err != nil {
			s.nextRecordAt = k.now().Add(recordRetryDelay)
			k.log("grantee_not_entered", "shard", s.name, "peer", host, "err", err)
			return
		}
		l.AddHosts(entered...)
		for _, each := range entered {
			k.requestReport(s, l, each)
		}
	}()
}

// requestReports asks hosts that have not told what they hold, and those that were not heard of for long. The shard's
// lock is held.
func (k *Enforcer) requestReports(s *shard) {
	l := s.Granter()
	if l == nil {
		return
	}
	for _, host := range l.UnreportedHosts() {
		k.requestReport(s, l, host)
	}
	for _, host := range l.QuietHosts(k.now().Add(-quietHostTimeout)) {
		k.requestReport(s, l, host)
	}
}

// requestReport asks a host what it holds. The shard's lock is held.
func (k *Enforcer) requestReport(s *shard, l *quota.Granter, host string) {
	if host == k.settings.Host {
		holds, _ := s.Shard.Report(l.FencingToken(), k.now())
		l.RecordReport(host, k.settings.Process, holds, k.now())
		return
	}
	t := s.reports[host]
	if t == nil {
		t = &reportState{}
		s.reports[host] = t
	}
	if t.pending || k.now().Before(t.nextAt) {
		return
	}
	t.pending = true
	r := ReportRequest{s.name, k.settings.Host, l.FencingToken()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		reply, err := k.fleet.RequestReport(ctx, host, r)
		s.mu.Lock()
		defer s.mu.Unlock()
		k.handleReport(s, l, host, t, reply, err)
	}()
}

// handleReport takes over what a host told. The shard's lock is held.
func (k *Enforcer) handleReport(s *shard, l *quota.Granter, host string, t *reportState, reply ReportResponse, err error) {
	now := k.now()
	t.pending = false
	switch {
	case s.Granter() != l:
		return
	case err == nil && !reply.Declined:
		known := l.HoldingsKnown(now)
		l.RecordReport(host, reply.Process, reply.Holdings, now)
		t.nextAt, t.backoff = now.Add(initialReportBackoff), 0
		if !known && l.HoldingsKnown(now) {
			k.log("grants_known", "shard", s.name)
		}
		return
	case err == nil:
		k.log("granter_outlived", "shard", s.name, "peer", host, "token", l.FencingToken())
	case k.fleet.IsProcessEnded(err):
		l.RecordExit(host, now)
	}
	t.backoff = min(max(2*t.backoff, initialReportBackoff), maxReportBackoff)
	t.nextAt = now.Add(t.backoff)
}
