package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
)

// ask asks the granter of a shard, if there is something to ask and no question under way. The shard's lock is
// held.
func (k *Keeper) ask(s *shard) {
	now := k.now()
	if s.asking || now.Before(s.askAt) {
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
		answer, ok := k.answer(s, k.settings.Host, k.settings.Process, in)
		k.took(s, in, Reply{Declined: !ok, Answer: answer}, nil)
		return
	}
	s.asking = true
	go k.askHost(s, host, in)
}

func (k *Keeper) askHost(s *shard, host string, in quota.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply, err := k.fleet.Ask(ctx, host, Request{s.name, k.settings.Host, k.settings.Process, in})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking = false
	k.took(s, in, reply, err)
	k.ask(s) // for those that have come meanwhile
}

// took takes over an answer, or that there is none. The shard's lock is held.
func (k *Keeper) took(s *shard, in quota.Request, reply Reply, err error) {
	now := k.now()
	if err == nil && !reply.Declined && s.HandleResponse(in.ID, in.FencingToken, reply.Answer, now) {
		if !s.failingSince.IsZero() {
			k.log("granter_regained", "shard", s.name, "after_ms", now.Sub(s.failingSince).Milliseconds())
		}
		s.failingSince, s.askAt = time.Time{}, time.Time{}
		s.notify()
		return
	}
	s.Abandon(in.ID)
	if s.failingSince.IsZero() {
		s.failingSince = now
		k.log("granter_lost", "shard", s.name, "token", in.FencingToken, "declined", reply.Declined, "err", err)
	}
	s.askAt = now.Add(askAgain)
	time.AfterFunc(askAgain, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notify()
	})
}

// Tell answers a granter that asks what this host holds.
func (k *Keeper) Tell(r TellRequest) TellReply {
	s := k.byName(r.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.Granter() != nil
	holds, ok := s.Shard.Report(r.Token, k.now())
	if granted && s.Granter() == nil {
		k.log("granter_ends", "shard", s.name, "successor", r.Host, "token", r.Token)
	}
	return TellReply{Process: k.settings.Process, Declined: !ok, Holds: holds}
}

func (k *Keeper) log(event string, fields ...any) {
	_ = k.logger.Log(append([]any{"event", event}, fields...)...)
}
