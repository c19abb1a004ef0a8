package gateway

import (
	"context"

	"pearlatch/core/shutdown"
)

// shutdownState holds the contexts that end with phases of the shutdown.
type shutdownState struct {
	// passingOn ends when requests are no longer passed on to members and other hosts, and answering when those in
	// progress are answered as unknown.
	passingOn, answering         context.Context
	stopPassingOn, stopAnswering context.CancelFunc
}

func newShutdownState() shutdownState {
	var s shutdownState
	s.passingOn, s.stopPassingOn = context.WithCancel(context.Background())
	s.answering, s.stopAnswering = context.WithCancel(context.Background())
	return s
}

// EnterShutdown begins a phase of the shutdown. Phases must be entered in order; some may be left out.
func (h *Host) EnterShutdown(p shutdown.Phase) {
	h.phase.Store(uint32(p))
	if p >= shutdown.Announcing {
		h.Stop()
	}
	if !p.PassesOn() {
		h.shutdown.stopPassingOn()
	}
	if p >= shutdown.AnsweringUnknown {
		h.shutdown.stopAnswering()
	}
}

// ShutdownPhase returns the phase that was entered last.
func (h *Host) ShutdownPhase() shutdown.Phase { return shutdown.Phase(h.phase.Load()) }

// PassingOn returns a context that ends when the host passes on no more requests. Session.Do stops waiting with it.
func (h *Host) PassingOn() context.Context { return h.shutdown.passingOn }

// Answering returns a context that ends when the host answers the requests in progress as unknown.
func (h *Host) Answering() context.Context { return h.shutdown.answering }

// passesOn reports whether requests are passed on to members and other hosts.
func (h *Host) passesOn() bool { return h.ShutdownPhase().PassesOn() }

const (
	// stoppingDetail is the reason of refusals by a host that stops. Another host can take the request at once.
	stoppingDetail = "the host is stopping, retry_after_ms=0"
	// rolledBackDetail is the reason told to the callers of transactions that the shutdown has ended.
	rolledBackDetail = "the host is stopping and the transaction was rolled back, retry_after_ms=0"
)

// refuseStopping refuses a request that has not been passed on. An open transaction is rolled back and ends.
func (s *Session) refuseStopping(r Request) Reply {
	if s.tx == nil {
		return failureReply(Busy, stoppingDetail)
	}
	s.EndTransaction()
	if _, ends := r.Statement.(Rollback); ends {
		return Reply{}
	}
	return failureReply(Aborted, rolledBackDetail)
}

// nameShutdown gives the shutdown as the reason of a refusal if that kept the statement from being passed on.
func (s *Session) nameShutdown(f *Failure) {
	if f == nil || s.host.passesOn() {
		return
	}
	switch f.Code {
	case Busy:
		f.Detail = stoppingDetail
	case Aborted:
		f.Detail = rolledBackDetail
	}
}

// EndTransaction rolls back the open transaction, if any, and ends a failed one. It reports whether one was open.
func (s *Session) EndTransaction() bool {
	open := s.tx != nil
	if open {
		s.host.log("transaction_ended", "request", s.lastRequestID, "database", s.database, "group", s.tx.op.group.name,
			"transaction_ms", s.host.now().Sub(s.tx.started).Milliseconds(), "why", "stopping")
		s.host.metrics.Count("transactions_ended_by_shutdown_total", 1)
		s.tx.rollback(s)
		s.tx = nil
	}
	s.state = Idle
	return open
}

// UnknownReply returns the reply to a request that is about to be executed, for the case that its outcome can't be
// awaited: the process exits, so that an open transaction is rolled back unless its commit was sent.
func (s *Session) UnknownReply(r Request) Reply {
	writes, _, _ := s.resolvePrepared(r)
	return unknownReply(r.Statement, s.state == InTransaction, writes, s.tx != nil && s.tx.readOnly)
}

// unknownReply is like UnknownReply, for a request in an open or read-only transaction or outside one.
func unknownReply(st Statement, inTransaction, writes, readOnly bool) Reply {
	_, commits := st.(Commit)
	switch {
	case commits && inTransaction && !readOnly, writes && !inTransaction:
		return failureReply(InDoubt, "the host stopped before the outcome was known")
	case inTransaction:
		return failureReply(Aborted, rolledBackDetail)
	}
	switch st.(type) {
	case Read, Execute:
		return failureReply(TimedOut, "the host stopped before the member answered")
	}
	return failureReply(Busy, stoppingDetail)
}

// AnsweredUnknown records that a request was answered with the reply from UnknownReply.
func (h *Host) AnsweredUnknown(id string, reply Reply) {
	h.log("answered_unknown", "request", id, "code", reply.Failure.Code, "detail", reply.Failure.Detail)
	h.metrics.Count("requests_answered_unknown_total", 1)
}
