package gateway

import (
	"cmp"
	"context"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/group"
	"pearlatch/internal/usage"
)

// Session is the session of a caller. It is used by one goroutine at a time.
type Session struct {
	host     *Host
	database string
	caller   account.Credentials
	// values and prepared keep the caller's session values and prepared statements until the
	// session ends.
	values   map[string]string
	prepared map[string]PreparedStatement
	state    State
	tx       *transaction
	// lastWrite is the position of the session's last write.
	lastWrite group.Position
	decision  decision
	// lastRequestID is the identifier of the latest request.
	lastRequestID string
	// origin is set if the caller is connected to another host. It replaces this host's
	// configuration, and the session's statements are never forwarded further.
	origin *forwardOrigin
}

// Open starts a session with a database for a caller, or returns a *Failure.
func (h *Host) Open(database string, c account.Credentials) (*Session, *Failure) {
	if err := h.authorize(database, c); err != nil {
		h.logRefused(database, err)
		return nil, err
	}
	h.sessions.Add(1)
	return &Session{host: h, database: database, caller: c}, nil
}

// Authorized reports whether the session's caller may begin a statement or transaction now. It
// returns false once the caller's key has been revoked.
func (s *Session) Authorized() bool {
	if s.origin != nil {
		return true // checked by the host that the caller is connected to
	}
	err := s.host.authorize(s.database, s.caller)
	return err == nil || err.Code != Unauthorized
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.host.sessions.Add(-1)
	s.abandon()
}

// abandon rolls back the open transaction, if any, of a caller that has disconnected.
func (s *Session) abandon() {
	if s.tx == nil {
		return
	}
	s.host.log("caller_left", "request", s.lastRequestID, "database", s.database, "group", s.tx.op.group.name,
		"transaction_ms", s.host.now().Sub(s.tx.started).Milliseconds(), "outcome", "rolled back")
	s.tx.rollback(s)
	s.tx = nil
}

// route returns the current target of the session's statements and the account that they run for.
func (s *Session) route() (routeTarget, *Failure) {
	if s.origin != nil {
		return s.origin.routeTarget, nil
	}
	return s.host.route(s.database, s.caller)
}

// ReplyUndelivered records that the reply to a request could not be delivered to the caller.
func (s *Session) ReplyUndelivered(id string) {
	s.host.log("answer_undelivered", "request", id, "database", s.database)
}

// State returns the transaction status of the session.
func (s *Session) State() State { return s.state }

// Do runs a statement and returns the reply for the caller. If ctx ends while the statement waits, it is refused; one that
// has been passed on is awaited.
func (s *Session) Do(ctx context.Context, r Request) Reply { return s.do(ctx, r, s.host.now()) }

func (s *Session) do(ctx context.Context, r Request, arrived time.Time) Reply {
	s.lastRequestID = r.ID
	if s.state == InTransaction && !s.Authorized() {
		// Once its key is revoked, nothing that the account has begun is kept.
		s.host.logFailure(s, r, arrived, &Failure{Unauthorized, "the caller's key was taken away, rolled back"})
		s.failTransaction(Reply{})
		if _, isCommit := r.Statement.(Commit); !isCommit {
			reply := failureReply(Aborted, "the key was taken away")
			reply.State = s.state
			return reply
		}
	}
	if s.state == InFailedTransaction {
		return s.doInFailedTransaction(r)
	}
	if !s.host.ShutdownPhase().Admits(s.state == InTransaction || s.origin != nil) {
		reply := s.refuseStopping(r)
		s.recordOutcome(r, arrived, reply)
		return reply
	}
	var reply Reply
	switch st := r.Statement.(type) {
	case Begin:
		reply = s.beginAdmitted(ctx, st, arrived)
	case Commit:
		reply = s.commit(ctx, r, arrived)
	case Rollback:
		reply = s.rollback()
	case Read, Write, Execute:
		reply = s.runStatement(ctx, r, arrived)
	case Set:
		s.set(st)
	case Prepare:
		s.prepare(st)
	case Deallocate:
		reply = s.deallocate(st)
	default:
		unknown, _ := r.Statement.(Unknown)
		reply = failureReply(Malformed, cmp.Or(unknown.Reason, "not a statement"))
	}
	reply.State = s.state
	s.nameShutdown(reply.Failure)
	s.recordOutcome(r, arrived, reply)
	return reply
}

// admit charges the account's quota for a transaction, or for a statement outside one. Operations that
// other hosts forward were charged there.
func (s *Session) admit(ctx context.Context, op *operation, arrived time.Time) *Failure {
	s.host.usage.Begun(op.account.Name, arrived)
	if s.origin != nil {
		return nil
	}
	if f := op.knownRefusal(); f != nil {
		return f
	}
	f := s.host.takeQuota(ctx, op.account, arrived.Add(op.route.Timeout))
	s.decision = decision{f, usage.Quota}
	return f
}

// recordOutcome counts a statement that was answered, and logs it if it failed.
func (s *Session) recordOutcome(r Request, arrived time.Time, reply Reply) {
	outcome := "served"
	switch {
	case s.origin != nil && s.origin.declined:
		s.host.logDeclined(s, r, arrived)
		outcome = PrimaryUnreachable.String()
	case reply.Failure != nil:
		outcome = reply.Failure.Code.String()
		s.host.logFailure(s, r, arrived, reply.Failure)
	case reply.Signature == "":
		return // no member was involved
	}
	if s.origin != nil {
		s.host.metrics.ReceivedForward(s.origin.group.name, outcome)
		return
	}
	s.host.metrics.Statement(s.database, outcome, s.host.now().Sub(arrived))
}

func failureReply(c Code, detail string) Reply {
	return Reply{Failure: &Failure{Code: c, Detail: detail}}
}

// doInFailedTransaction answers a statement in a failed transaction. Only a commit or a rollback
// ends it; all other statements are refused.
func (s *Session) doInFailedTransaction(r Request) Reply {
	switch r.Statement.(type) {
	case Rollback:
		s.state = Idle
		return Reply{}
	case Commit:
		s.state = Idle
		return failureReply(Aborted, "the transaction had failed and was rolled back")
	}
	reply := failureReply(Malformed, "the transaction has failed and must be ended")
	reply.State = s.state
	return reply
}

func (s *Session) set(st Set) {
	// A forwarded request may still be encoded from the former map.
	values := map[string]string{st.Name: st.Value}
	for k, v := range s.values {
		if k != st.Name {
			values[k] = v
		}
	}
	s.values = values
}

func (s *Session) prepare(st Prepare) {
	if s.prepared == nil {
		s.prepared = map[string]PreparedStatement{}
	}
	s.prepared[st.Name] = st.Prepared
}

func (s *Session) deallocate(st Deallocate) Reply {
	if _, ok := s.prepared[st.Name]; !ok {
		return failureReply(UnknownPrepared, st.Name)
	}
	delete(s.prepared, st.Name)
	return Reply{}
}
