package gateway

import (
	"context"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/group"
)

// Session is a caller's session. It is used by one goroutine at a time.
type Session struct {
	host     *Host
	database string
	caller   account.Caller
	// values and prepared belong to the caller until the session ends.
	values   map[string]string
	prepared map[string]PreparedStatement
	state    State
	tx       *transaction
	// lastWrite is the position of the session's last write.
	lastWrite group.Position
	// lastRequestID is the identifier of the newest request.
	lastRequestID string
	// origin is set for a caller of another host, and decides in place of the
	// configuration. Such a session is never passed on.
	origin *forwardOrigin
}

// Open starts a caller's session with a database, or returns a *Failure.
func (h *Host) Open(database string, c account.Caller) (*Session, *Failure) {
	if err := h.authorize(database, c); err != nil {
		h.logRefused(database, err)
		return nil, err
	}
	h.sessions.Add(1)
	return &Session{host: h, database: database, caller: c}, nil
}

// Authorized reports whether the session's caller may begin anything now. A key that was taken away ends that.
func (s *Session) Authorized() bool {
	if s.origin != nil {
		return true // its own host looks at that
	}
	err := s.host.authorize(s.database, s.caller)
	return err == nil || err.Code != Unauthorized
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.host.sessions.Add(-1)
	s.abandon()
}

// abandon rolls an open transaction back whose caller has left.
func (s *Session) abandon() {
	if s.tx == nil {
		return
	}
	s.host.log("caller_left", "request", s.lastRequestID, "database", s.database, "group", s.tx.op.group.name,
		"transaction_ms", s.host.now().Sub(s.tx.started).Milliseconds(), "outcome", "rolled back")
	s.tx.rollback(s)
	s.tx = nil
}

// route returns where the session's statements go now, and for whom.
func (s *Session) route() (routeTarget, *Failure) {
	if s.origin != nil {
		return s.origin.routeTarget, nil
	}
	return s.host.route(s.database, s.caller)
}

// ReplyUndelivered records that the answer to the newest request could not be delivered.
func (s *Session) ReplyUndelivered() {
	s.host.log("answer_undelivered", "request", s.lastRequestID, "database", s.database)
}

// State returns the transaction status.
func (s *Session) State() State { return s.state }

// Do runs a statement and returns the answer for the caller.
func (s *Session) Do(ctx context.Context, r Request) Reply { return s.do(ctx, r, s.host.now()) }

func (s *Session) do(ctx context.Context, r Request, arrived time.Time) Reply {
	s.lastRequestID = r.ID
	if s.state == InTransaction && !s.Authorized() {
		// Nothing that the account began is kept once its key was taken away.
		s.host.logFailure(s, r, arrived, &Failure{Unauthorized, "the caller's key was taken away, rolled back"})
		s.failTransaction(Reply{})
		if _, ends := r.Statement.(Commit); !ends {
			reply := failureReply(Aborted, "the key was taken away")
			reply.State = s.state
			return reply
		}
	}
	if s.state == InFailedTransaction {
		return s.doInFailedTransaction(r)
	}
	if f := s.chargeQuota(ctx, r, arrived); f != nil {
		reply := s.failTransaction(Reply{Failure: f})
		reply.State = s.state
		s.recordOutcome(r, arrived, reply)
		return reply
	}
	var reply Reply
	switch st := r.Statement.(type) {
	case Begin:
		reply = s.begin(st, arrived)
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
		reply = failureReply(Malformed, "not a statement")
	}
	reply.State = s.state
	s.recordOutcome(r, arrived, reply)
	return reply
}

// chargeQuota takes a token of the account's quota for an operation that begins here: a transaction, or a statement
// outside of one. Those of other hosts' callers were counted there.
func (s *Session) chargeQuota(ctx context.Context, r Request, arrived time.Time) *Failure {
	if s.origin != nil || s.state != Idle {
		return nil
	}
	switch r.Statement.(type) {
	case Begin, Read, Write, Execute:
	default:
		return nil
	}
	at, f := s.route()
	if f != nil {
		return f
	}
	return s.host.takeQuota(ctx, at.account, arrived.Add(at.route.Timeout))
}

// recordOutcome counts a statement that was answered, and writes a line if it failed.
func (s *Session) recordOutcome(r Request, arrived time.Time, reply Reply) {
	outcome := "served"
	switch {
	case s.origin != nil && s.origin.returned:
		s.host.logDeclined(s, r, arrived)
		outcome = PrimaryUnreachable.String()
	case reply.Failure != nil:
		outcome = reply.Failure.Code.String()
		s.host.logFailure(s, r, arrived, reply.Failure)
	case reply.Signature == "":
		return // answered without a member
	}
	if s.origin != nil {
		s.host.metrics.forwardedStatement(s.origin.group.name, outcome)
		return
	}
	s.host.metrics.statement(s.database, outcome, s.host.now().Sub(arrived))
}

func failureReply(c Code, detail string) Reply {
	return Reply{Failure: &Failure{Code: c, Detail: detail}}
}

// doInFailedTransaction answers while a failed transaction waits for its end.
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
	if s.values == nil {
		s.values = map[string]string{}
	}
	s.values[st.Name] = st.Value
}

func (s *Session) prepare(st Prepare) {
	if s.prepared == nil {
		s.prepared = map[string]PreparedStatement{}
	}
	s.prepared[st.Name] = st.Prepared
}

func (s *Session) deallocate(st Deallocate) Reply {
	if _, ok := s.prepared[st.Name]; !ok {
		return failureReply(UnknownStatement, st.Name)
	}
	delete(s.prepared, st.Name)
	return Reply{}
}
