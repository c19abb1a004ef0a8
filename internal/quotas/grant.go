package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
)

// Took makes this host the granter of a shard under a fencing token. The hosts named may hold portions of earlier
// granters, and those before may have been one. A successor will know of them, and of this host.
func (k *Keeper) Took(name string, token int64, held time.Time, mayHold, before []string) {
	s := k.byName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := quota.NewGranter(token, k.settings.Terms, k.now(), mayHold, before)
	l.Extend(held)
	s.SetGranter(l)
	s.telling = map[string]*told{}
	s.askAt = time.Time{}
	k.log("granter_begins", "shard", name, "token", token, "may_hold", len(mayHold), "before", len(before))
}

// Renewed records that this host still held a shard's duty at a time, and Raised that its token has risen.
func (k *Keeper) Renewed(name string, held time.Time) {
	s := k.byName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.Granter(); l != nil {
		l.Extend(held)
	}
}

// Raised is described with Renewed.
func (k *Keeper) Raised(name string, token int64) {
	s := k.byName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.Granter(); l != nil {
		l.RaiseFencingToken(token)
	}
}

// Lost records that this host is the granter of a shard no more. Nothing is handed out once it returns.
func (k *Keeper) Lost(name string) {
	s := k.byName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Granter() != nil {
		k.log("granter_ends", "shard", name)
	}
	s.SetGranter(nil)
}

// Before returns the hosts that may still take themselves for the granter of a shard. ok is false if this host is not
// its granter.
func (k *Keeper) Before(name string) (hosts []string, ok bool) {
	s := k.byName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.Granter()
	if l == nil {
		return nil, false
	}
	return l.FormerGranters(), true
}

// Answer answers a host that asks this one as the granter of a shard.
func (k *Keeper) Answer(r Request) Reply {
	s := k.byName(r.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, ok := k.answer(s, r.Host, r.Process, r.Inquiry)
	return Reply{Declined: !ok, Answer: answer}
}

// answer answers a host, this one as well. One that the ledger does not know well enough is asked what it holds
// first. The shard's lock is held.
func (k *Keeper) answer(s *shard, host, process string, in quota.Request) (quota.Response, bool) {
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
		k.enter(s, l, host)
	case !l.HasReported(host, process):
		k.tell(s, l, host)
	}
	return quota.Response{}, false
}

// enter lets hosts get portions that are new to the fleet, once a successor will know of them. The shard's lock is
// held.
func (k *Keeper) enter(s *shard, l *quota.Granter, host string) {
	if s.entering || k.now().Before(s.enterAt) {
		return
	}
	s.entering = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), enterTimeout)
		defer cancel()
		entered, err := k.fleet.Enter(ctx, s.name, host)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.entering = false
		if err != nil {
			s.enterAt = k.now().Add(enterPause)
			k.log("grantee_not_entered", "shard", s.name, "peer", host, "err", err)
			return
		}
		l.AddHosts(entered...)
		for _, each := range entered {
			k.tell(s, l, each)
		}
	}()
}

// lookAfter asks hosts that have not told what they hold, and those that were not heard of for long. The shard's
// lock is held.
func (k *Keeper) lookAfter(s *shard) {
	l := s.Granter()
	if l == nil {
		return
	}
	for _, host := range l.UnreportedHosts() {
		k.tell(s, l, host)
	}
	for _, host := range l.QuietHosts(k.now().Add(-unheardTime)) {
		k.tell(s, l, host)
	}
}

// tell asks a host what it holds. The shard's lock is held.
func (k *Keeper) tell(s *shard, l *quota.Granter, host string) {
	if host == k.settings.Host {
		holds, _ := s.Shard.Report(l.FencingToken(), k.now())
		l.RecordReport(host, k.settings.Process, holds, k.now())
		return
	}
	t := s.telling[host]
	if t == nil {
		t = &told{}
		s.telling[host] = t
	}
	if t.under || k.now().Before(t.at) {
		return
	}
	t.under = true
	r := TellRequest{s.name, k.settings.Host, l.FencingToken()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		reply, err := k.fleet.Tell(ctx, host, r)
		s.mu.Lock()
		defer s.mu.Unlock()
		k.heard(s, l, host, t, reply, err)
	}()
}

// heard takes over what a host told. The shard's lock is held.
func (k *Keeper) heard(s *shard, l *quota.Granter, host string, t *told, reply TellReply, err error) {
	now := k.now()
	t.under = false
	switch {
	case s.Granter() != l:
		return
	case err == nil && !reply.Declined:
		known := l.HoldingsKnown(now)
		l.RecordReport(host, reply.Process, reply.Holds, now)
		t.at, t.pause = now.Add(tellPause), 0
		if !known && l.HoldingsKnown(now) {
			k.log("grants_known", "shard", s.name)
		}
		return
	case err == nil:
		k.log("granter_outlived", "shard", s.name, "peer", host, "token", l.FencingToken())
	case k.fleet.Ended(err):
		l.RecordExit(host, now)
	}
	t.pause = min(max(2*t.pause, tellPause), tellPauseMax)
	t.at = now.Add(t.pause)
}
