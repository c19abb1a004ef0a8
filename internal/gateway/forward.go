package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
	"pearlatch/core/recall"
	"pearlatch/internal/pause"
)

const (
	// openStreamTimeout bounds opening a stream to another host: a hundred round trips within a
	// region.
	openStreamTimeout = 150 * time.Millisecond
	// outcomeQueryDelay is how long a request may be outstanding before the other host is asked
	// for its outcome. Statements that don't have to wait take less.
	outcomeQueryDelay = 120 * time.Millisecond
	// outcomeQueryTimeout bounds an outcome query, and outcomeQueryInterval is the pause between
	// the queries of watchRequest. An unreachable host thus counts as lost after half a second,
	// within the users' deadlines.
	outcomeQueryTimeout  = 150 * time.Millisecond
	outcomeQueryInterval = 60 * time.Millisecond
	// maxMissedOutcomeQueries is how many outcome queries in a row may go unanswered.
	maxMissedOutcomeQueries = 2
	// peerReplyMargin is how much longer than a statement's deadline to wait for another host's
	// reply: the time for the way back.
	peerReplyMargin = 50 * time.Millisecond
	// peerRetryInterval is the pause before the hosts that serve a group are tried again after none
	// of them has taken a statement. It is also the pause between the outcome queries of
	// resolveOutcome.
	peerRetryInterval = 25 * time.Millisecond
)

var (
	// errNotRun means that a request has certainly not run on the other host and never will.
	errNotRun = errors.New("the request has not run")
	// errPeerPrimaryUnreachable means that the other host can't reach the primary.
	errPeerPrimaryUnreachable = errors.New("the other host can't reach the primary")
	// errOutcomeUnknown means that it can't be determined whether a request has run.
	errOutcomeUnknown = errors.New("the outcome is not known")
)

// newPeerRequest returns the request that forwards a statement to another host.
func (s *Session) newPeerRequest(r Request, arrived time.Time, op *operation) *PeerRequest {
	h := s.host
	return &PeerRequest{
		From: h.processID, Serial: h.requestSerial.Add(1), Group: op.group.name, Database: s.database, Route: op.route, Account: op.need.Account,
		Age: h.now().Sub(arrived), LastWrite: s.lastWrite, Values: s.values, Prepared: op.prepared, Request: r,
	}
}

// forwardSingle forwards a statement outside a transaction to a host that serves the group. It
// returns false if no host took it.
func (s *Session) forwardSingle(ctx context.Context, r Request, op *operation) (reply Reply, ok bool) {
	arrived := op.deadline.Add(-op.route.Timeout)
	s.tryServingHosts(ctx, op, func(server membership.Host, waitForPrimary bool) error {
		req := s.newPeerRequest(r, arrived, op)
		req.WaitForPrimary = waitForPrimary
		got, _, err := s.forward(ctx, server, req, op.deadline)
		switch {
		case err == nil:
			s.advanceLastWrite(got.LastWrite)
			reply, ok = got.Reply, true
		case errors.Is(err, errOutcomeUnknown) && op.writes:
			reply, ok = failureReply(InDoubt, "host "+server.ID+" was lost with the write"), true
			return nil
		}
		return err
	})
	return reply, ok
}

// sendFunc sends a statement to another host. The error is nil once the outcome of the
// statement is decided.
type sendFunc func(server membership.Host, waitForPrimary bool) error

// tryServingHosts tries the hosts that serve the group in turn until the outcome of the statement
// is decided, its time to wait is over, or this host is to serve the group itself. If this host
// serves the group, it tries the home server of the account or the alternative hosts.
func (s *Session) tryServingHosts(ctx context.Context, op *operation, send sendFunc) {
	switch {
	case !op.shouldForward:
		s.tryAlternatives(op, send)
		return
	case op.toHome:
		// After a failure the operation runs here.
		op.shouldForward, op.toHome = false, false
		if home, ok := op.group.loads.HomeElsewhere(op.need.Account); ok {
			_ = send(home, false) // logged by forward
		}
		return
	}
	for s.tryServingHostsOnce(op, send) {
		if !pause.For(ctx, peerRetryInterval) {
			return
		}
	}
}

// tryServingHostsOnce sends a statement to each host that serves the group until one takes it. It
// returns true if the statement is to be retried.
func (s *Session) tryServingHostsOnce(op *operation, send sendFunc) bool {
	g, h := op.group, s.host
	var withoutPrimary []membership.Host // hosts that can't reach the primary
	var order [8]int
	servers, indices := g.loads.Order(order[:0], op.need.Account)
	for _, i := range indices {
		server := servers.Hosts[i]
		err := send(server, false)
		switch {
		case err == nil:
			g.noteServerReached()
			return false
		case errors.Is(err, errPeerPrimaryUnreachable):
			withoutPrimary = append(withoutPrimary, server)
		case g.noteServerUnreached():
			return false
		}
		if !h.now().Before(op.waitUntil()) {
			return false
		}
		if len(withoutPrimary) > maxAlternatives {
			break
		}
	}
	// If several hosts can't reach the primary it is most likely being replaced, and the statement
	// waits for the new primary at one of them.
	if len(withoutPrimary) > 0 && send(withoutPrimary[0], true) == nil {
		g.noteServerReached()
		return false
	}
	return true
}

// maxAlternatives is how many further hosts are tried if one can't reach the primary. With a
// partition that leaves a majority of the hosts on the primary's side, two of three hosts reach
// it.
const maxAlternatives = 2

// tryAlternatives sends a statement to hosts that may reach the primary while this host, which
// serves the group, can't.
func (s *Session) tryAlternatives(op *operation, send sendFunc) {
	alternatives := s.host.fleet.Usable(s.host.alternativeHosts(op.group))
	for _, server := range alternatives[:min(len(alternatives), 1+maxAlternatives)] {
		if send(server, false) == nil || !s.host.now().Before(op.waitUntil()) {
			return
		}
	}
}

// forward sends a request to a host on a new stream. If the error is nil the caller owns the
// stream.
func (s *Session) forward(ctx context.Context, server membership.Host, r *PeerRequest, deadline time.Time) (*PeerReply, Stream, error) {
	h := s.host
	if !h.passesOn() {
		return nil, nil, errNotRun
	}
	callCtx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	stream, err := h.ports.Peers.OpenStream(callCtx, server.Peer)
	if err != nil {
		h.peerFailed(server.ID, err)
		h.logForward(s, r, server.ID, "not reached", err)
		return nil, nil, errNotRun
	}
	reply, err := s.send(ctx, server, stream, r, deadline)
	if err != nil {
		return nil, nil, err
	}
	return reply, stream, nil
}

// send sends a request on a stream. It closes the stream if the request fails on it or is
// declined.
func (s *Session) send(ctx context.Context, server membership.Host, stream Stream, r *PeerRequest, deadline time.Time) (*PeerReply, error) {
	h := s.host
	ctx = context.WithoutCancel(ctx) // a request that was sent is awaited
	r.To = h.fleet.ProcessID(server.ID)
	callCtx, cancel := context.WithTimeout(ctx, deadline.Sub(h.now())+peerReplyMargin)
	defer cancel()
	sent := h.now()
	timer := time.AfterFunc(outcomeQueryDelay, func() { h.watchRequest(callCtx, cancel, server, r) })
	reply, err := stream.Do(callCtx, r)
	timer.Stop()
	if err != nil {
		stream.Close()
		h.logForward(s, r, server.ID, "broken", err)
		if errors.Is(err, ErrNotSent) || r.isRetrySafe() {
			return nil, errNotRun
		}
		reply, err = h.resolveOutcome(ctx, server, r, sent, deadline)
		switch {
		case errors.Is(err, errNotRun):
			stream.ReplaceIfSilent(h.now().Sub(sent))
		case err == nil && reply.Reply.State == InTransaction:
			// The other host rolled the transaction back when the stream closed.
			return nil, errNotRun
		}
	}
	if err != nil {
		h.peerFailed(server.ID, err)
		return nil, err
	}
	h.peerAnswered(server.ID, reply.Process)
	if reply.Declined != Accepted {
		stream.Close()
		h.logForward(s, r, server.ID, reply.Declined.String(), nil)
		if reply.Declined == PrimaryUnreachable {
			return nil, errPeerPrimaryUnreachable
		}
		return nil, errNotRun
	}
	h.metrics.SentForward(r.Group, "answered")
	if g := h.existingGroup(r.Group); g != nil {
		reply.Load.Kind = r.loadKind()
		g.loads.Record(server.ID, reply.Process, reply.LoadSequence, reply.Load)
	}
	return reply, nil
}

// watchRequest queries the outcome of a request that takes long. It cancels the wait for the reply
// if the host does not answer or no longer runs the request: the connection may have silently
// failed.
func (h *Host) watchRequest(ctx context.Context, cancel func(), server membership.Host, r *PeerRequest) {
	for missed := 0; ctx.Err() == nil; {
		switch got, err := h.queryOutcome(ctx, server, r); got.(type) {
		case OutcomeRunning:
			missed = 0
		default:
			if ctx.Err() != nil {
				return // the reply has arrived
			}
			if err != nil {
				// Mark the host suspect, so that other statements don't wait for it.
				h.peerFailed(server.ID, err)
			}
			if missed++; err == nil || missed >= maxMissedOutcomeQueries || r.isRetrySafe() {
				cancel()
				return
			}
		}
		if !pause.For(ctx, outcomeQueryInterval) {
			return
		}
	}
}

// queryOutcome asks a host for the outcome of a request.
func (h *Host) queryOutcome(ctx context.Context, server membership.Host, r *PeerRequest) (RequestOutcome, error) {
	callCtx, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
	defer cancel()
	return h.ports.Peers.QueryOutcome(callCtx, server.Peer, r.From, r.Serial)
}

// resolveOutcome determines the outcome of a request that was sent at the given time and whose stream
// broke, and returns its reply. The error is errNotRun or errOutcomeUnknown.
func (h *Host) resolveOutcome(ctx context.Context, server membership.Host, r *PeerRequest, sent, deadline time.Time) (*PeerReply, error) {
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
			if r.To == "" || got.Process != r.To || !recall.ProvesNotRun(sent, h.now()) {
				return nil, errOutcomeUnknown // the host, or an earlier process of it, may have run it
			}
			return nil, errNotRun
		}
		if !pause.For(ctx, peerRetryInterval) {
			break
		}
	}
	return nil, errOutcomeUnknown
}

// peerFailed records that another host did not answer, and starts probing it.
func (h *Host) peerFailed(id string, err error) {
	if !h.fleet.RecordFailure(id) {
		return
	}
	h.log("peer_lost", "peer", id, "err", err)
	go h.probeUntilRegained(id)
}

// probeUntilRegained probes a host that failed until it answers or is no longer listed.
func (h *Host) probeUntilRegained(id string) {
	ctx, cancel := pause.Until(context.Background(), h.ended)
	defer cancel()
	process, answered := h.fleet.ProbeSuspect(ctx, id, outcomeQueryTimeout, func(ctx context.Context, addr netip.AddrPort) (string, bool) {
		// No request has the serial 0, so this only tests whether the host answers.
		got, err := h.ports.Peers.QueryOutcome(ctx, addr, h.processID, 0)
		known, ok := got.(OutcomeUnknown)
		return known.Process, ok && err == nil
	})
	if answered {
		h.peerAnswered(id, process)
	}
}

// peerAnswered records that another host answered.
func (h *Host) peerAnswered(id, process string) {
	if h.fleet.RecordAnswer(id, process) {
		h.log("peer_regained", "peer", id, "process", process)
	}
}

// logForward logs and counts a forwarded statement that another host did not take or answer.
func (h *Host) logForward(s *Session, r *PeerRequest, server, outcome string, err error) {
	h.log("forward", "request", r.Request.ID, "database", s.database, "group", r.Group, "peer", server,
		"outcome", outcome, "age_ms", r.Age.Milliseconds(), "err", err)
	h.metrics.SentForward(r.Group, "failed")
}
