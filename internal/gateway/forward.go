package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
)

const (
	// laneTimeout bounds the opening of a lane to another host: a hundred round trips
	// within a region.
	laneTimeout = 150 * time.Millisecond
	// recallAfter is how long a request may be under way until the other host is asked
	// whether it has it. Statements take less, but where they wait.
	recallAfter = 120 * time.Millisecond
	// recallTimeout bounds that question.
	recallTimeout = 120 * time.Millisecond
	// recallRounds is how many questions in a row may stay unanswered.
	recallRounds = 2
	// peerGrace is how much longer than a statement's deadline the answer of another
	// host may take: the way back.
	peerGrace = 50 * time.Millisecond
	// regainPause is the pause until a host that failed is asked again, regainPauseMax
	// the longest one: a process is back after about a second.
	regainPause    = 50 * time.Millisecond
	regainPauseMax = 400 * time.Millisecond
	// peerPause is the pause after all hosts that serve a group failed to answer.
	peerPause = 25 * time.Millisecond
)

var (
	// errNotRun means that a request has certainly not run on the other host, and
	// never will.
	errNotRun = errors.New("the request has not run")
	// errUnknown means that nobody knows whether a request has run.
	errUnknown = errors.New("the outcome is not known")
)

// away is a transaction's part on another host.
type away struct {
	server membership.Host
	lane   Lane
}

// peerRequest describes a statement to another host.
func (s *Session) peerRequest(r Request, arrived time.Time, w *work) *PeerRequest {
	h := s.host
	return &PeerRequest{
		From: h.process, Serial: h.serial.Add(1), Group: w.group.name, Database: s.database, Route: w.route,
		Age: h.now().Sub(arrived), Mark: s.mark, Values: s.values, Shape: w.shape, Request: r,
	}
}

// forwardSingle passes a statement outside a transaction on to a host that serves the
// group. It returns false if none took it.
func (s *Session) forwardSingle(ctx context.Context, r Request, w *work) (reply Reply, ok bool) {
	arrived := w.deadline.Add(-w.route.Timeout)
	s.eachServer(ctx, w, func(server membership.Host) bool {
		got, lane, err := s.forward(ctx, server, s.peerRequest(r, arrived, w), w.deadline)
		switch {
		case err == nil:
			lane.Release()
			s.raise(got.Mark)
			reply, ok = got.Reply, true
		case errors.Is(err, errUnknown) && w.writes:
			reply, ok = fail(InDoubt, "host "+server.ID+" was lost with the write"), true
		}
		return ok
	})
	return reply, ok
}

// eachServer turns to one host after the other that serves the group, until offer
// returns true, the statement has waited for long enough, or this host is to serve the
// group itself.
func (s *Session) eachServer(ctx context.Context, w *work, offer func(membership.Host) bool) {
	g, h := w.group, s.host
	for {
		for _, server := range h.serversOf(g) {
			if offer(server) {
				g.reached()
				return
			}
			if g.unreached() || !h.now().Before(w.waitUntil()) {
				return
			}
		}
		if !sleep(ctx, peerPause) {
			return
		}
	}
}

// forward sends a request to a host on a lane of its own. Without an error the lane is
// the caller's.
func (s *Session) forward(ctx context.Context, server membership.Host, r *PeerRequest, deadline time.Time) (*PeerReply, Lane, error) {
	h := s.host
	call, cancel := context.WithTimeout(ctx, laneTimeout)
	defer cancel()
	lane, err := h.ports.Peers.Lane(call, server.Peer)
	if err != nil {
		h.peerFailed(server.ID, err)
		h.logForward(s, r, server.ID, "not reached", err)
		return nil, nil, errNotRun
	}
	reply, err := s.send(ctx, server, lane, r, deadline)
	if err != nil {
		return nil, nil, err
	}
	return reply, lane, nil
}

// send sends a request on a lane, which is closed when it fails.
func (s *Session) send(ctx context.Context, server membership.Host, lane Lane, r *PeerRequest, deadline time.Time) (*PeerReply, error) {
	h := s.host
	r.To = h.fleet.process(server.ID)
	call, cancel := context.WithTimeout(ctx, deadline.Sub(h.now())+peerGrace)
	defer cancel()
	watch := time.AfterFunc(recallAfter, func() { h.watchPeer(call, cancel, server, r) })
	reply, err := lane.Do(call, r)
	watch.Stop()
	if err != nil {
		lane.Close()
		h.logForward(s, r, server.ID, "broken", err)
		if errors.Is(err, ErrNotSent) {
			return nil, errNotRun
		}
		reply, err = h.settle(ctx, server, r, deadline)
	}
	if err != nil {
		h.peerFailed(server.ID, err)
		return nil, err
	}
	h.peerAnswered(server.ID, reply.Process)
	if reply.Elsewhere {
		lane.Close()
		h.logForward(s, r, server.ID, reply.Why, nil)
		return nil, errNotRun
	}
	return reply, nil
}

// watchPeer asks a host whether it has a request that takes long, and ends the wait
// when it does not answer or has it no longer: the connection may have gone silent.
func (h *Host) watchPeer(ctx context.Context, giveUp func(), server membership.Host, r *PeerRequest) {
	for missed := 0; ctx.Err() == nil; {
		switch got, err := h.recall(ctx, server, r); got.(type) {
		case RecalledRunning:
			missed = 0
		default:
			if missed++; err == nil || missed >= recallRounds {
				giveUp()
				return
			}
		}
		if !sleep(ctx, recallAfter) {
			return
		}
	}
}

// recall asks a host what became of a request.
func (h *Host) recall(ctx context.Context, server membership.Host, r *PeerRequest) (Recalled, error) {
	call, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	return h.ports.Peers.Recall(call, server.Peer, r.From, r.Serial)
}

// settle finds out what became of a request whose lane broke.
func (h *Host) settle(ctx context.Context, server membership.Host, r *PeerRequest, deadline time.Time) (*PeerReply, error) {
	for missed := 0; h.now().Before(deadline) && missed < recallRounds; {
		got, err := h.recall(ctx, server, r)
		if err != nil {
			missed++
			continue
		}
		switch got := got.(type) {
		case RecalledDone:
			return got.Reply, nil
		case RecalledUnknown:
			if r.To == "" || got.Process != r.To {
				return nil, errUnknown // it may have come to a process that has ended
			}
			return nil, errNotRun
		}
		if !sleep(ctx, peerPause) {
			break
		}
	}
	return nil, errUnknown
}

// serversOf returns the hosts that serve the group, in the order in which this host
// turns to them: those that failed lately only if there are no others.
func (h *Host) serversOf(g *Group) []membership.Host {
	servers := g.serverOrder()
	usable := h.fleet.usable(servers)
	if len(usable) == 0 {
		return servers
	}
	return usable
}

// peerFailed records that another host did not answer.
func (h *Host) peerFailed(id string, err error) {
	if !h.fleet.failed(id) {
		return
	}
	h.log("peer_lost", "peer", id, "err", err)
	go h.regain(id)
}

// regain asks a host that failed until it answers or is no longer listed, so that no
// caller has to find out.
func (h *Host) regain(id string) {
	ctx, cancel := h.untilEnd()
	defer cancel()
	for pause := regainPause; sleep(ctx, pause); pause = min(2*pause, regainPauseMax) {
		addr, suspect := h.fleet.suspect(id)
		if !suspect {
			return
		}
		call, cancel := context.WithTimeout(ctx, recallTimeout)
		got, err := h.ports.Peers.Recall(call, addr, h.process, 0)
		cancel()
		if known, ok := got.(RecalledUnknown); ok && err == nil {
			h.peerAnswered(id, known.Process)
			return
		}
	}
}

// peerAnswered records that another host answered.
func (h *Host) peerAnswered(id, process string) {
	if h.fleet.answered(id, process) {
		h.log("peer_regained", "peer", id, "process", process)
	}
}

// logForward writes the line of a statement that another host did not answer.
func (h *Host) logForward(s *Session, r *PeerRequest, server, outcome string, err error) {
	h.log("forward", "request", r.Request.ID, "database", s.database, "group", r.Group, "peer", server,
		"outcome", outcome, "age_ms", r.Age.Milliseconds(), "err", err)
	h.meters.forward(r.Group, "failed")
}

// forwardInTransaction passes a statement of a transaction, or its commit, on. The first
// one opens the transaction on the other host. It returns false if no host took it.
func (s *Session) forwardInTransaction(ctx context.Context, r Request, arrived time.Time) (reply Reply, ok bool) {
	t := s.tx
	if t.away != nil {
		return s.continueAway(ctx, r, arrived), true
	}
	s.eachServer(ctx, &t.work, func(server membership.Host) bool {
		req := s.peerRequest(r, arrived, &t.work)
		req.Begin, req.BeginAge = &Begin{ReadOnly: t.readOnly}, s.host.now().Sub(t.started)
		// If the answer is lost the other host rolls back, so another one may begin.
		got, lane, err := s.forward(ctx, server, req, t.work.deadline)
		if err != nil {
			return false
		}
		t.away = &away{server, lane}
		reply, ok = s.taken(r, got), true
		return true
	})
	return reply, ok
}

// continueAway runs a further statement of a transaction on its host.
func (s *Session) continueAway(ctx context.Context, r Request, arrived time.Time) Reply {
	t := s.tx
	server := t.away.server
	reply, err := s.send(ctx, server, t.away.lane, s.peerRequest(r, arrived, &t.work), t.work.deadline)
	if err == nil {
		return s.taken(r, reply)
	}
	t.away = nil
	if _, ends := r.Statement.(Commit); ends && !t.readOnly && errors.Is(err, errUnknown) {
		s.tx, s.state = nil, Idle
		return fail(InDoubt, "host "+server.ID+" was lost with the commit")
	}
	return s.failed(fail(Aborted, "host "+server.ID+" was lost, "+retryAfter))
}

// taken takes over what another host answered to a statement of a transaction.
func (s *Session) taken(r Request, reply *PeerReply) Reply {
	t := s.tx
	s.raise(reply.Mark)
	if reply.Reply.State != InTransaction {
		t.away.lane.Release()
		s.tx = nil
	}
	s.state = reply.Reply.State
	if _, ends := r.Statement.(Commit); ends {
		s.state = Idle
	}
	return reply.Reply
}

// rollbackAway ends a transaction on another host.
func (t *transaction) rollbackAway(s *Session) {
	a := t.away
	t.away = nil
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	r := s.peerRequest(Request{ID: s.last, Statement: Rollback{}}, s.host.now(), &t.work)
	reply, err := a.lane.Do(ctx, r)
	if err != nil || reply.Reply.State != Idle {
		a.lane.Close()
		return
	}
	a.lane.Release()
}
