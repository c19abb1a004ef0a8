package gateway

import (
	"context"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
	"pearlatch/core/recall"
)

// ForwardedSession does what another host passes on, for one of its callers at a time. It is used
// by one goroutine at a time.
type ForwardedSession struct {
	host    *Host
	session *Session
	// counted is true while the host counts the guest's open transaction.
	counted bool
}

// forwardOrigin is what a guest's session goes by in place of the host's own configuration: the
// host that the caller is connected to decides about routes.
type forwardOrigin struct {
	from string
	routeTarget
	// waitForPrimary is true when the caller's statement waits for the primary here, and
	// returned is set when it does not and this host can't reach it.
	waitForPrimary, returned bool
}

// NewForwardedSession returns a ForwardedSession without a caller.
func (h *Host) NewForwardedSession() *ForwardedSession { return &ForwardedSession{host: h} }

// Accept decides whether to run a request of another host, and records it, so that the host
// can answer for it from then on. It returns the answer to a request that is declined.
func (g *ForwardedSession) Accept(r *PeerRequest) (declined *PeerReply) {
	h := g.host
	why := g.declineReason(r)
	if why == Accepted && !h.recentRequests.Admit(recall.Key{Sender: r.From, Serial: r.Serial}, h.now()) {
		why = ReportedUnknown
	}
	if why == Accepted {
		h.forwardedCount.Add(1)
		return nil
	}
	return &PeerReply{Process: h.processID, Declined: why}
}

// Run runs a request that was taken.
func (g *ForwardedSession) Run(ctx context.Context, r *PeerRequest) *PeerReply {
	h := g.host
	defer h.forwardedCount.Add(-1)
	if group := h.group(r.Group); group != nil {
		group.startFallback()
	}
	reply := g.run(ctx, r)
	g.updateCount()
	h.recentRequests.Complete(recall.Key{Sender: r.From, Serial: r.Serial}, reply)
	return reply
}

// declineReason says why the request is not to run here. Once a transaction is open its
// statements run here or nowhere.
func (g *ForwardedSession) declineReason(r *PeerRequest) DeclineReason {
	if r.To != "" && r.To != g.host.processID {
		return OtherProcess
	}
	switch {
	case r.Continues != g.HasOpenTransaction():
		// The transaction was rolled back, since its lane was given up or it rested for
		// too long: the statement must not run by itself.
		return NoTransaction
	case r.Continues:
		return Accepted
	case g.host.stopping.Load():
		return HostStopping
	}
	group := g.host.group(r.Group)
	switch {
	case group == nil:
		return GroupUnknown
	case r.Account == "" && !r.Route.Public && g.host.requiresAccounts():
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

// requiresAccounts reports whether callers need an account by this host's configuration.
func (h *Host) requiresAccounts() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config != nil && h.config.Accounts != nil
}

// HasOpenTransaction reports whether a transaction is open.
func (g *ForwardedSession) HasOpenTransaction() bool {
	return g.session != nil && g.session.state == InTransaction
}

// updateCount tells the host whether a transaction is open.
func (g *ForwardedSession) updateCount() {
	switch open := g.HasOpenTransaction(); {
	case open && !g.counted:
		g.host.forwardedCount.Add(1)
	case !open && g.counted:
		g.host.forwardedCount.Add(-1)
	}
	g.counted = g.HasOpenTransaction()
}

// run takes over the caller's session as the request describes it. The ages make times
// of this host's clock that are not before the sender's: what decides on freshness is
// never older than it seems.
func (g *ForwardedSession) run(ctx context.Context, r *PeerRequest) *PeerReply {
	h := g.host
	now := h.now()
	if !g.HasOpenTransaction() {
		g.session = &Session{host: h, database: r.Database, origin: &forwardOrigin{from: r.From, routeTarget: routeTarget{r.Route, h.group(r.Group), &account.Account{Name: r.Account}}}}
	}
	s := g.session
	s.origin.waitForPrimary, s.origin.returned = r.WaitForPrimary, false
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
		// The caller's own host keeps the state of a failed transaction.
		s.state = Idle
	}
	out := &PeerReply{Process: h.processID, Reply: reply, LastWrite: s.lastWrite}
	if s.origin.returned {
		out.Declined = PrimaryUnreachable
	}
	return out
}

// Expire rolls back a transaction whose host sent nothing for too long: it may be gone
// without a trace, and its transaction holds a connection.
func (g *ForwardedSession) Expire() {
	if g.HasOpenTransaction() {
		g.session.Expire()
	}
	g.session = nil
	g.updateCount()
}

// IdleTimeout is how long the next request may take to come while a transaction is open.
func (g *ForwardedSession) IdleTimeout() time.Duration {
	return g.host.TransactionIdleTimeout() + forwardedIdleMargin
}

// forwardedIdleMargin lets the caller's own host end a resting transaction first.
const forwardedIdleMargin = 500 * time.Millisecond

// Close ends the guest. An open transaction is rolled back.
func (g *ForwardedSession) Close() {
	if g.HasOpenTransaction() {
		g.session.abandon()
	}
	g.session = nil
	g.updateCount()
}

// OutcomeOf says what became of a request of another host.
func (h *Host) OutcomeOf(from string, serial uint64) RequestOutcome {
	switch outcome, reply := h.recentRequests.Resolve(recall.Key{Sender: from, Serial: serial}, h.now()); outcome {
	case recall.Answered:
		return OutcomeDone{reply}
	case recall.Running:
		return OutcomeRunning{}
	}
	return OutcomeUnknown{h.processID}
}

// ForwardedCount returns how many requests and transactions of other hosts are open here.
func (h *Host) ForwardedCount() int64 { return h.forwardedCount.Load() }
