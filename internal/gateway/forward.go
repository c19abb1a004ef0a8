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
	stream Stream
}

// newPeerRequest describes a statement to another host.
func (s *Session) newPeerRequest(r Request, arrived time.Time, w *operation) *PeerRequest {
	h := s.host
	return &PeerRequest{
		From: h.processID, Serial: h.requestSerial.Add(1), Group: w.group.name, Database: s.database, Route: w.route, Account: w.need.Account,
		Age: h.now().Sub(arrived), LastWrite: s.lastWrite, Values: s.values, Prepared: w.prepared, Request: r,
	}
}

// forwardSingle passes a statement outside a transaction on to a host that serves the
// group. It returns false if none took it.
func (s *Session) forwardSingle(ctx context.Context, r Request, w *operation) (reply Reply, ok bool) {
	arrived := w.deadline.Add(-w.route.Timeout)
	s.tryServers(ctx, w, func(server membership.Host, insist bool) error {
		req := s.newPeerRequest(r, arrived, w)
		req.WaitForPrimary = insist
		got, _, err := s.forward(ctx, server, req, w.deadline)
		switch {
		case err == nil:
			s.advanceLastWrite(got.LastWrite)
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

// tryServers turns to one host after the other that serves the group until the statement
// is settled, has waited for long enough, or this host is to serve the group itself.
func (s *Session) tryServers(ctx context.Context, w *operation, settle attemptFunc) {
	if !w.servedElsewhere {
		s.tryAlternatives(w, settle)
		return
	}
	for s.tryServersOnce(w, settle) {
		if !pause.For(ctx, peerRetryInterval) {
			return
		}
	}
}

// tryServersOnce offers a statement once to each host that serves the group. It returns true if
// the statement is to be offered again.
func (s *Session) tryServersOnce(w *operation, settle attemptFunc) bool {
	g, h := w.group, s.host
	var without []membership.Host // those that can't reach the primary
	for _, server := range h.serversFor(g).servers {
		err := settle(server, false)
		switch {
		case err == nil:
			g.noteServerReached()
			return false
		case errors.Is(err, errPeerPrimaryUnreachable):
			without = append(without, server)
		case g.noteServerUnreached():
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
		g.noteServerReached()
		return false
	}
	return true
}

// maxAlternatives is how many further hosts are asked for a primary that one can't reach. A
// partition that leaves a majority on the other side is crossed by two of three.
const maxAlternatives = 2

// tryAlternatives offers a statement to hosts that may reach the primary while this one, which
// serves the group, can't.
func (s *Session) tryAlternatives(w *operation, settle attemptFunc) {
	detours := s.host.fleet.Usable(s.host.alternativeHosts(w.group))
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
	lane, err := h.ports.Peers.OpenStream(call, server.Peer)
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
	watch := time.AfterFunc(outcomeQueryDelay, func() { h.watchRequest(call, cancel, server, r) })
	reply, err := lane.Do(call, r)
	watch.Stop()
	if err != nil {
		lane.Close()
		h.logForward(s, r, server.ID, "broken", err)
		if errors.Is(err, ErrNotSent) || r.isRetrySafe() {
			return nil, errNotRun
		}
		reply, err = h.resolveOutcome(ctx, server, r, deadline)
		switch {
		case errors.Is(err, errNotRun):
			lane.ReplaceIfSilent(h.now().Sub(sent))
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
	h.metrics.forward(r.Group, "answered")
	return reply, nil
}

// watchRequest asks a host whether it has a request that takes long, and ends the wait
// when it does not answer or has it no longer: the connection may have gone silent.
func (h *Host) watchRequest(ctx context.Context, giveUp func(), server membership.Host, r *PeerRequest) {
	for missed := 0; ctx.Err() == nil; {
		switch got, err := h.queryOutcome(ctx, server, r); got.(type) {
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
			if missed++; err == nil || missed >= maxMissedOutcomeQueries || r.isRetrySafe() {
				giveUp()
				return
			}
		}
		if !pause.For(ctx, outcomeQueryInterval) {
			return
		}
	}
}

// queryOutcome asks a host what became of a request.
func (h *Host) queryOutcome(ctx context.Context, server membership.Host, r *PeerRequest) (RequestOutcome, error) {
	call, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
	defer cancel()
	return h.ports.Peers.QueryOutcome(call, server.Peer, r.From, r.Serial)
}

// resolveOutcome finds out what became of a request whose lane broke.
func (h *Host) resolveOutcome(ctx context.Context, server membership.Host, r *PeerRequest, deadline time.Time) (*PeerReply, error) {
	for missed := 0; h.now().Before(deadline) && missed < maxMissedOutcomeQueries; {
		got, err := h.queryOutcome(ctx, server, r)
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
	go h.probeUntilRegained(id)
}

// probeUntilRegained asks a host that failed until it answers or is no longer listed, so that no
// caller has to find out.
func (h *Host) probeUntilRegained(id string) {
	ctx, cancel := contextUntil(context.Background(), h.ended)
	defer cancel()
	for next := serving.PeerRetryDelay(0, 1); pause.For(ctx, next); next = serving.PeerRetryDelay(next, h.fleet.Suspects()) {
		addr, suspect := h.fleet.Suspect(id)
		if !suspect {
			return
		}
		call, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
		got, err := h.ports.Peers.QueryOutcome(call, addr, h.processID, 0)
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

// reroute runs a statement by way of another host, since this one can't reach the primary.
// A caller of another host goes back there. It returns false if no host took it: then the
// statement waits here.
func (s *Session) reroute(ctx context.Context, r Request, w *operation) (Reply, bool) {
	if s.returnToOrigin() {
		return busyReply(*w), true
	}
	w.need.Forwardable = false
	return s.forwardSingle(ctx, r, w)
}

// rerouteInTransaction does the same for a transaction that has run nothing yet.
func (s *Session) rerouteInTransaction(ctx context.Context, r Request, arrived time.Time) (Reply, bool) {
	if s.returnToOrigin() {
		return s.failTransaction(busyReply(s.tx.op)), true
	}
	s.tx.op.need.Forwardable = false
	return s.forwardInTransaction(ctx, r, arrived)
}

// returnToOrigin makes the answer to another host say that this one can't reach the primary. It
// returns false for this host's own callers.
func (s *Session) returnToOrigin() bool {
	if s.origin == nil {
		return false
	}
	s.origin.returned = true
	return true
}

// logForward writes the line of a statement that another host did not answer.
func (h *Host) logForward(s *Session, r *PeerRequest, server, outcome string, err error) {
	h.log("forward", "request", r.Request.ID, "database", s.database, "group", r.Group, "peer", server,
		"outcome", outcome, "age_ms", r.Age.Milliseconds(), "err", err)
	h.metrics.forward(r.Group, "failed")
}

// forwardInTransaction passes a statement of a transaction, or its commit, on. The first
// one opens the transaction on the other host. It returns false if no host took it.
func (s *Session) forwardInTransaction(ctx context.Context, r Request, arrived time.Time) (reply Reply, ok bool) {
	t := s.tx
	if t.remote != nil {
		return s.continueRemote(ctx, r, arrived), true
	}
	s.tryServers(ctx, &t.op, func(server membership.Host, insist bool) error {
		req := s.newPeerRequest(r, arrived, &t.op)
		req.Begin, req.BeginAge = &Begin{ReadOnly: t.readOnly}, s.host.now().Sub(t.started)
		req.WaitForPrimary = insist
		// If the answer is lost the other host rolls back, so another one may begin.
		got, lane, err := s.forward(ctx, server, req, t.op.deadline)
		if err != nil {
			return err
		}
		t.remote = &remoteTransaction{server, lane}
		reply, ok = s.applyRemoteReply(r, got), true
		return nil
	})
	return reply, ok
}

// continueRemote runs a further statement of a transaction on its host.
func (s *Session) continueRemote(ctx context.Context, r Request, arrived time.Time) Reply {
	t := s.tx
	server := t.remote.server
	req := s.newPeerRequest(r, arrived, &t.op)
	req.Continues = true
	reply, err := s.send(ctx, server, t.remote.stream, req, t.op.deadline)
	if err == nil {
		return s.applyRemoteReply(r, reply)
	}
	t.remote = nil
	if _, ends := r.Statement.(Commit); ends && !t.readOnly && errors.Is(err, errOutcomeUnknown) {
		s.tx, s.state = nil, Idle
		return failureReply(InDoubt, "host "+server.ID+" was lost with the commit")
	}
	return s.failTransaction(failureReply(Aborted, "host "+server.ID+" was lost, "+retryAfter(0)))
}

// applyRemoteReply takes over what another host answered to a statement of a transaction.
func (s *Session) applyRemoteReply(r Request, reply *PeerReply) Reply {
	s.advanceLastWrite(reply.LastWrite)
	if reply.Reply.State != InTransaction {
		s.tx = nil
	}
	s.state = reply.Reply.State
	if _, ends := r.Statement.(Commit); ends {
		s.state = Idle
	}
	return reply.Reply
}

// rollbackRemote ends a transaction on another host.
func (t *transaction) rollbackRemote(s *Session) {
	a := t.remote
	t.remote = nil
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	r := s.newPeerRequest(Request{ID: s.lastRequestID, Statement: Rollback{}}, s.host.now(), &t.op)
	r.Continues = true
	reply, err := a.stream.Do(ctx, r)
	if err != nil || reply.Declined != Accepted || reply.Reply.State != Idle {
		a.stream.Close()
	}
}
