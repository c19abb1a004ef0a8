package gateway

import (
	"context"
	"sync"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
	"pearlatch/core/recall"
)

// ForwardedSession runs requests that another host forwards, for one of its callers at a time. It
// is used by one goroutine at a time.
type ForwardedSession struct {
	host    *Host
	session *Session
	// counted is true while the open transaction is included in the host's forwardedCount.
	counted bool
}

// forwardOrigin is what the host that the caller is connected to has decided for a forwarded
// session. Its route, group and account apply instead of those of this host's configuration.
type forwardOrigin struct {
	from string
	routeTarget
	// waitForPrimary is true if the current request is to wait for the primary on this host.
	// declined is set if it does not wait and this host can't reach the primary. The host that sent
	// the request then tries others.
	waitForPrimary, declined bool
}

// NewForwardedSession returns a ForwardedSession without a caller.
func (h *Host) NewForwardedSession() *ForwardedSession { return &ForwardedSession{host: h} }

// Accept decides whether to run a request of another host, and records a request that it accepts,
// so that OutcomeOf can answer for it from then on. It returns the reply to a request that is
// declined, or nil.
func (fs *ForwardedSession) Accept(r *PeerRequest) (declined *PeerReply) {
	h := fs.host
	reason := fs.declineReason(r)
	if reason == Accepted && !h.recentRequests.Admit(recall.Key{Sender: r.From, Serial: r.Serial}, h.now()) {
		reason = ReportedUnknown // or the request was admitted before
	}
	if reason == Accepted {
		h.forwardedCount.Add(1)
		return nil
	}
	return &PeerReply{Process: h.processID, Declined: reason}
}

// Run runs a request that Accept has accepted, and returns the reply to it.
func (fs *ForwardedSession) Run(ctx context.Context, r *PeerRequest) *PeerReply {
	h := fs.host
	defer h.forwardedCount.Add(-1)
	if group := h.group(r.Group); group != nil {
		group.startFallback()
	}
	reply := fs.run(ctx, r)
	fs.updateCount()
	h.recentRequests.Complete(recall.Key{Sender: r.From, Serial: r.Serial}, reply)
	return reply
}

// declineReason returns why the request is not to run here, or Accepted. Statements of an open
// transaction run here or nowhere.
func (fs *ForwardedSession) declineReason(r *PeerRequest) DeclineReason {
	if r.To != "" && r.To != fs.host.processID {
		return OtherProcess
	}
	switch {
	case r.Continues != fs.HasOpenTransaction():
		// The transaction was rolled back since its stream was closed or it was idle for too long.
		// The statement must not run outside it.
		return NoTransaction
	case r.Continues && !fs.host.passesOn():
		return NoTransaction // it is about to be rolled back
	case r.Continues:
		return Accepted
	case fs.host.stopping.Load():
		return HostStopping
	}
	group := fs.host.group(r.Group)
	switch {
	case group == nil:
		return GroupUnknown
	case r.Account == "" && !r.Route.Public && fs.host.requiresAccounts():
		return AccountMissing
	case !r.WaitForPrimary && r.needsPrimary() && group.primaryUnreachable():
		return PrimaryUnreachable
	}
	return Accepted
}

// needsPrimary reports whether only the primary can run the request.
func (r *PeerRequest) needsPrimary() bool {
	if _, latest := r.Route.Class.(freshness.Latest); latest {
		return true
	}
	if r.Begin != nil {
		return !r.Begin.ReadOnly
	}
	_, writes := r.Request.Statement.(Write)
	return writes || r.Prepared != nil && r.Prepared.Writes
}

// requiresAccounts reports whether this host's configuration requires callers to have a client
// account.
func (h *Host) requiresAccounts() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config != nil && h.config.Accounts != nil
}

// HasOpenTransaction reports whether a transaction is open.
func (fs *ForwardedSession) HasOpenTransaction() bool {
	return fs.session != nil && fs.session.state == InTransaction
}

// updateCount adds an open transaction to the host's forwardedCount, or removes an ended one.
func (fs *ForwardedSession) updateCount() {
	switch open := fs.HasOpenTransaction(); {
	case open && !fs.counted:
		fs.host.forwardedCount.Add(1)
	case !open && fs.counted:
		fs.host.forwardedCount.Add(-1)
	}
	fs.counted = fs.HasOpenTransaction()
}

// run adopts the caller's session state from the request and runs the statement. It converts ages
// in the request to times of this host's clock. The transfer can make these times later than at
// the sender, never earlier, so a freshness requirement never becomes weaker.
func (fs *ForwardedSession) run(ctx context.Context, r *PeerRequest) *PeerReply {
	h := fs.host
	now := h.now()
	if !fs.HasOpenTransaction() {
		fs.session = &Session{host: h, database: r.Database, origin: &forwardOrigin{from: r.From, routeTarget: routeTarget{r.Route, h.group(r.Group), &account.Account{Name: r.Account}}}}
	}
	s := fs.session
	s.origin.waitForPrimary, s.origin.declined = r.WaitForPrimary, false
	s.values = r.Values
	s.advanceLastWrite(r.LastWrite)
	if e, ok := r.Request.Statement.(Execute); ok && r.Prepared != nil {
		s.prepared = map[string]PreparedStatement{e.Name: *r.Prepared}
	}
	if r.Begin != nil {
		s.begin(*r.Begin, now.Add(-r.BeginAge))
	}
	reply := s.do(ctx, r.Request, now.Add(-r.Age))
	if s.state == InFailedTransaction {
		// The host that the caller is connected to keeps the state of a failed transaction.
		s.state = Idle
	}
	out := &PeerReply{Process: h.processID, Reply: reply, LastWrite: s.lastWrite}
	out.Load, out.LoadSequence = s.origin.group.loadReport(r.loadKind())
	if s.origin.declined {
		out.Declined = PrimaryUnreachable
	}
	return out
}

// UnknownReply returns the reply to an accepted request whose outcome can't be awaited. The other host repeats elsewhere
// what can't have taken effect.
func (fs *ForwardedSession) UnknownReply(r *PeerRequest) *PeerReply {
	inTransaction := r.Continues || r.Begin != nil
	_, writes := r.Request.Statement.(Write)
	writes = writes || r.Prepared != nil && r.Prepared.Writes
	reply := unknownReply(r.Request.Statement, inTransaction, writes, r.Begin != nil && r.Begin.ReadOnly)
	fs.host.AnsweredUnknown(r.Request.ID, reply)
	out := &PeerReply{Process: fs.host.processID, Reply: reply}
	if reply.Failure.Code != InDoubt {
		out.Declined = HostStopping
	}
	return out
}

// Expire rolls back a transaction whose host has sent nothing for too long. That host may have
// failed without closing the stream, and the transaction holds a connection.
func (fs *ForwardedSession) Expire() {
	if fs.HasOpenTransaction() {
		fs.session.Expire()
	}
	fs.session = nil
	fs.updateCount()
}

// IdleTimeout returns how long to wait for the next request while a transaction is open.
func (fs *ForwardedSession) IdleTimeout() time.Duration {
	return fs.host.TransactionIdleTimeout() + forwardedIdleMargin
}

// forwardedIdleMargin gives the caller's own host time to end an idle transaction first.
const forwardedIdleMargin = 500 * time.Millisecond

// Close ends the forwarded session. An open transaction is rolled back.
func (fs *ForwardedSession) Close() {
	if fs.HasOpenTransaction() {
		fs.session.abandon()
	}
	fs.session = nil
	fs.updateCount()
}

// OutcomeOf returns the outcome of a request that another host has sent. A request that is not
// known is refused from then on.
func (h *Host) OutcomeOf(from string, serial uint64) RequestOutcome {
	switch outcome, reply := h.recentRequests.Resolve(recall.Key{Sender: from, Serial: serial}, h.now()); outcome {
	case recall.Answered:
		return OutcomeDone{reply}
	case recall.Running:
		return OutcomeRunning{}
	}
	return OutcomeUnknown{h.processID}
}

// BeginReply adds a reply to PendingReplies, and done removes it. Further calls of done have no effect.
func (h *Host) BeginReply() (done func()) {
	h.pendingReplies.Add(1)
	return sync.OnceFunc(func() { h.pendingReplies.Add(-1) })
}

// PendingReplies returns the number of replies that are owed to other hosts and have not been sent.
func (h *Host) PendingReplies() int64 { return h.pendingReplies.Load() }

// ForwardedCount returns the number of running requests and open transactions of other hosts.
func (h *Host) ForwardedCount() int64 { return h.forwardedCount.Load() }
