package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
	"pearlatch/core/serving"
	"pearlatch/internal/pause"
)

const (
	// openStreamTimeout bounds the opening of a lane to another host: a hundred round trips
	// within a region.
	openStreamTimeout = 150 * time.Millisecond
	// outcomeQueryDelay is how long a request may be under way until the other host is asked
	// whether it has it. Statements take less, but where they wait.
	outcomeQueryDelay = 120 * time.Millisecond
	// outcomeQueryTimeout bounds that question, and outcomeQueryInterval is the pause until the next:
	// a dark host counts as lost after half a second, within the users' deadlines.
	outcomeQueryTimeout  = 150 * time.Millisecond
	outcomeQueryInterval = 60 * time.Millisecond
	// maxMissedOutcomeQueries is how many questions in a row may stay unanswered.
	maxMissedOutcomeQueries = 2
	// peerReplyMargin is how much longer than a statement's deadline the answer of another
	// host may take: the way back.
	peerReplyMargin = 50 * time.Millisecond
	// peerRetryInterval is the pause after all hosts that serve a group failed to answer.
	peerRetryInterval = 25 * time.Millisecond
)

var (
	// errNotRun means that a request has certainly not run on the other host, and
	// never will.
	errNotRun = errors.New("the request has not run")
	// errPeerPrimaryUnreachable means that the other host can't reach the primary either.
	errPeerPrimaryUnreachable = errors.New("the other host can't reach the primary")
	// errOutcomeUnknown means that nobody knows whether a request has run.
	errOutcomeUnknown = errors.New("the outcome is not known")
)

// remoteTransaction is a transaction's part on another host.
type remoteTransaction struct {
	server membership.Host
	lane   Stream
}

// peerRequest describes a statement to another host.
func (s *Session) peerRequest(r Request, arrived time.Time, w *operation) *PeerRequest {
	h := s.host
	return &PeerRequest{
		From: h.process, Serial: h.serial.Add(1), Group: w.group.name, Database: s.database, Route: w.route, Account: w.need.Account,
		Age: h.now().Sub(arrived), Mark: s.mark, Values: s.values, Shape: w.shape, Request: r,
	}
}

// forwardSingle passes a statement outside a transaction on to a host that serves the
// group. It returns false if none took it.
func (s *Session) forwardSingle(ctx context.Context, r Request, w *operation) (reply Reply, ok bool) {
	arrived := w.deadline.Add(-w.route.Timeout)
	s.eachServer(ctx, w, func(server membership.Host, insist bool) error {
		req := s.peerRequest(r, arrived, w)
		req.Insist = insist
		got, _, err := s.forward(ctx, server, req, w.deadline)
		switch {
		case err == nil:
			s.raise(got.Mark)
			reply, ok = got.Reply, true
		case errors.Is(err, errOutcomeUnknown) && w.writes:
			reply, ok = failureReply(InDoubt, "host "+server.ID+" was lost with the write"), true
			return nil
		}
		return err
	})
	return reply, ok
}

// attemptFunc offers a statement to another host. The error is nil once the statement is settled.
type attemptFunc func(server membership.Host, insist bool) error

// eachServer turns to one host after the other that serves the group until the statement
// is settled, has waited for long enough, or this host is to serve the group itself.
func (s *Session) eachServer(ctx context.Context, w *operation, settle attemptFunc) {
	if !w.passOn {
		s.eachDetour(w, settle)
		return
	}
	for s.onePass(w, settle) {
		if !pause.For(ctx, peerRetryInterval) {
			return
		}
	}
}

// onePass offers a statement once to each host that serves the group. It returns true if
// the statement is to be offered again.
func (s *Session) onePass(w *operation, settle attemptFunc) bool {
	g, h := w.group, s.host
	var without []membership.Host // those that can't reach the primary
	for _, server := range h.turnsOf(g).servers {
		err := settle(server, false)
		switch {
		case err == nil:
			g.reached()
			return false
		case errors.Is(err, errPeerPrimaryUnreachable):
			without = append(without, server)
		case g.unreached():
			return false
		}
		if !h.now().Before(w.waitUntil()) {
			return false
		}
		if len(without) > maxAlternatives {
			break
		}
	}
	// Where several hosts miss the primary it is most likely being replaced, and the
	// statement waits for the next one.
	if len(without) > 0 && settle(without[0], true) == nil {
		g.reached()
		return false
	}
	return true
}

// maxAlternatives is how many further hosts are asked for a primary that one can't reach. A
// partition that leaves a majority on the other side is crossed by two of three.
const maxAlternatives = 2

// eachDetour offers a statement to hosts that may reach the primary while this one, which
// serves the group, can't.
func (s *Session) eachDetour(w *operation, settle attemptFunc) {
	detours := s.host.fleet.Usable(s.host.detours(w.group))
	for _, server := range detours[:min(len(detours), 1+maxAlternatives)] {
		if settle(server, false) == nil || !s.host.now().Before(w.waitUntil()) {
			return
		}
	}
}

// forward sends a request to a host on a lane of its own. Without an error the lane is
// the caller's.
func (s *Session) forward(ctx context.Context, server membership.Host, r *PeerRequest, deadline time.Time) (*PeerReply, Stream, error) {
	h := s.host
	call, cancel := context.WithTimeout(ctx, openStreamTimeout)
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
func (s *Session) send(ctx context.Context, server membership.Host, lane Stream, r *PeerRequest, deadline time.Time) (*PeerReply, error) {
	h := s.host
	r.To = h.fleet.Process(server.ID)
	call, cancel := context.WithTimeout(ctx, deadline.Sub(h.now())+peerReplyMargin)
	defer cancel()
	sent := h.now()
	watch := time.AfterFunc(outcomeQueryDelay, func() { h.watchPeer(call, cancel, server, r) })
	reply, err := lane.Do(call, r)
	watch.Stop()
	if err != nil {
		lane.Close()
		h.logForward(s, r, server.ID, "broken", err)
		if errors.Is(err, ErrNotSent) || r.repeatable() {
			return nil, errNotRun
		}
		reply, err = h.settle(ctx, server, r, deadline)
		switch {
		case errors.Is(err, errNotRun):
			lane.Mistrust(h.now().Sub(sent))
		case err == nil && reply.Reply.State == InTransaction:
			// With its lane, the transaction was rolled back.
			return nil, errNotRun
		}
	}
	if err != nil {
		h.peerFailed(server.ID, err)
		return nil, err
	}
	h.peerAnswered(server.ID, reply.Process)
	if reply.Declined != Accepted {
		lane.Close()
		h.logForward(s, r, server.ID, reply.Declined.String(), nil)
		if reply.Declined == PrimaryUnreachable {
			return nil, errPeerPrimaryUnreachable
		}
		return nil, errNotRun
	}
	h.meters.forward(r.Group, "answered")
	return reply, nil
}

// watchPeer asks a host whether it has a request that takes long, and ends the wait
// when it does not answer or has it no longer: the connection may have gone silent.
func (h *Host) watchPeer(ctx context.Context, giveUp func(), server membership.Host, r *PeerRequest) {
	for missed := 0; ctx.Err() == nil; {
		switch got, err := h.recall(ctx, server, r); got.(type) {
		case OutcomeRunning:
			missed = 0
		default:
			if ctx.Err() != nil {
				return // the answer has come
			}
			if err != nil {
				// Others need not wait for the outcome of this one.
				h.peerFailed(server.ID, err)
			}
			if missed++; err == nil || missed >= maxMissedOutcomeQueries || r.repeatable() {
				giveUp()
				return
			}
		}
		if !pause.For(ctx, outcomeQueryInterval) {
			return
		}
	}
}

// recall asks a host what became of a request.
func (h *Host) recall(ctx context.Context, server membership.Host, r *PeerRequest) (RequestOutcome, error) {
	call, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
	defer cancel()
	return h.ports.Peers.Recall(call, server.Peer, r.From, r.Serial)
}

// settle finds out what became of a request whose lane broke.
func (h *Host) settle(ctx context.Context, server membership.Host, r *PeerRequest, deadline time.Time) (*PeerReply, error) {
	for missed := 0; h.now().Before(deadline) && missed < maxMissedOutcomeQueries; {
		got, err := h.recall(ctx, server, r)
		if err != nil {
			missed++
			continue
		}
		switch got := got.(type) {
		case OutcomeDone:
			return got.Reply, nil
		case OutcomeUnknown:
			if r.To == "" || got.Process != r.To {
				return nil, errOutcomeUnknown // it may have come to a process that has ended
			}
			return nil, errNotRun
		}
		if !pause.For(ctx, peerRetryInterval) {
			break
		}
	}
	return nil, errOutcomeUnknown
}

// peerFailed records that another host did not answer.
func (h *Host) peerFailed(id string, err error) {
	if !h.fleet.Failed(id) {
		return
	}
	h.log("peer_lost", "peer", id, "err", err)
	go h.regain(id)
}

// regain asks a host that failed until it answers or is no longer listed, so that no
// caller has to find out.
func (h *Host) regain(id string) {
	ctx, cancel := contextUntil(context.Background(), h.ended)
	defer cancel()
	for next := serving.RegainPause(0, 1); pause.For(ctx, next); next = serving.RegainPause(next, h.fleet.Suspects()) {
		addr, suspect := h.fleet.Suspect(id)
		if !suspect {
			return
		}
		call, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
		got, err := h.ports.Peers.Recall(call, addr, h.process, 0)
		cancel()
		if known, ok := got.(OutcomeUnknown); ok && err == nil {
			h.peerAnswered(id, known.Process)
			return
		}
	}
}

// peerAnswered records that another host answered.
func (h *Host) peerAnswered(id, process string) {
	if h.fleet.Answered(id, process) {
		h.log("peer_regained", "peer", id, "process", process)
	}
}

// sendOn runs a statement by way of another host, since this one can't reach the primary.
// A caller of another host goes back there. It returns false if no host took it: then the
// statement waits here.
func (s *Session) sendOn(ctx context.Context, r Request, w *operation) (Reply, bool) {
	if s.sendBack() {
		return busyReply(*w), true
	}
	w.need.SendOn = false
	return s.forwardSingle(ctx, r, w)
}

// sendOnInTransaction does the same for a transaction that has run nothing yet.
func (s *Session) sendOnInTransaction(ctx context.Context, r Request, arrived time.Time) (Reply, bool) {
	if s.sendBack() {
		return s.failed(busyReply(s.tx.work)), true
	}
	s.tx.work.need.SendOn = false
	return s.forwardInTransaction(ctx, r, arrived)
}

// sendBack makes the answer to another host say that this one can't reach the primary. It
// returns false for this host's own callers.
func (s *Session) sendBack() bool {
	if s.visit == nil {
		return false
	}
	s.visit.sentBack = true
	return true
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
	s.eachServer(ctx, &t.work, func(server membership.Host, insist bool) error {
		req := s.peerRequest(r, arrived, &t.work)
		req.Begin, req.BeginAge = &Begin{ReadOnly: t.readOnly}, s.host.now().Sub(t.started)
		req.Insist = insist
		// If the answer is lost the other host rolls back, so another one may begin.
		got, lane, err := s.forward(ctx, server, req, t.work.deadline)
		if err != nil {
			return err
		}
		t.away = &remoteTransaction{server, lane}
		reply, ok = s.taken(r, got), true
		return nil
	})
	return reply, ok
}

// continueAway runs a further statement of a transaction on its host.
func (s *Session) continueAway(ctx context.Context, r Request, arrived time.Time) Reply {
	t := s.tx
	server := t.away.server
	req := s.peerRequest(r, arrived, &t.work)
	req.Continues = true
	reply, err := s.send(ctx, server, t.away.lane, req, t.work.deadline)
	if err == nil {
		return s.taken(r, reply)
	}
	t.away = nil
	if _, ends := r.Statement.(Commit); ends && !t.readOnly && errors.Is(err, errOutcomeUnknown) {
		s.tx, s.state = nil, Idle
		return failureReply(InDoubt, "host "+server.ID+" was lost with the commit")
	}
	return s.failed(failureReply(Aborted, "host "+server.ID+" was lost, "+retryAfter(0)))
}

// taken takes over what another host answered to a statement of a transaction.
func (s *Session) taken(r Request, reply *PeerReply) Reply {
	s.raise(reply.Mark)
	if reply.Reply.State != InTransaction {
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
	r.Continues = true
	reply, err := a.lane.Do(ctx, r)
	if err != nil || reply.Declined != Accepted || reply.Reply.State != Idle {
		a.lane.Close()
	}
}
