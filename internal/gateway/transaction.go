package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// transaction is an open transaction. It takes a connection only with its first statement, so that
// a caller that pauses after the begin holds none.
type transaction struct {
	readOnly bool
	started  time.Time
	op       operation
	// conn is nil until the first statement, and while the transaction runs on another host.
	conn *pooledConn
	// remote is set while the transaction runs on another host.
	remote *remoteTransaction
	// answeredCount is the number of statements whose replies were returned to the caller.
	answeredCount int
	// sentWrite is true once a write has been sent to the member.
	sentWrite bool
	// commitRepeated is true once the commit was sent again although an earlier one may have taken effect. An answer may then
	// still arrive on the connection, which is closed.
	commitRepeated bool
}

func (s *Session) beginAdmitted(ctx context.Context, st Begin, arrived time.Time) Reply {
	reply := s.begin(st, arrived)
	if reply.Failure != nil {
		return reply
	}
	if f := s.admit(ctx, &s.tx.op, arrived); f != nil {
		s.tx, s.state = nil, Idle
		return Reply{Failure: f}
	}
	return reply
}

func (s *Session) begin(st Begin, arrived time.Time) Reply {
	if s.state != Idle {
		return s.failTransaction(failureReply(Malformed, "a transaction is open"))
	}
	op, failure := s.planOperation(arrived, !st.ReadOnly)
	if failure != nil {
		return Reply{Failure: failure}
	}
	op.freshReads, op.needsPrimaryCheck = true, op.needsPrimaryCheck || !st.ReadOnly
	s.tx = &transaction{readOnly: st.ReadOnly, started: arrived, op: op}
	s.state = InTransaction
	return Reply{}
}

// runsElsewhere reports whether the next statement is to be forwarded to another host: the
// transaction has begun there, or it has not begun and other hosts serve the group.
func (t *transaction) runsElsewhere() bool {
	return t.remote != nil || t.op.shouldForward && t.conn == nil
}

// rollbackTimeout bounds the rollback on a member or another host. A connection or stream that
// takes longer is closed, which rolls the transaction back as well.
const rollbackTimeout = 300 * time.Millisecond

// rollback rolls the transaction back on its member or host and frees its connection.
func (t *transaction) rollback(s *Session) {
	if t.remote != nil {
		t.rollbackRemote(s)
	}
	if t.conn == nil {
		return
	}
	p, g := t.conn, t.op.group
	t.conn = nil
	replies, err := p.conn.Do(rollbackTimeout, Abort{})
	if err != nil || replies[0].State != Idle {
		g.discard(p, nil)
		return
	}
	g.release(p)
}

func (s *Session) rollback() Reply {
	if s.state != InTransaction {
		return failureReply(Malformed, "no transaction is open")
	}
	s.tx.rollback(s)
	s.tx, s.state = nil, Idle
	return Reply{}
}

// Expire rolls back the open transaction, which has been idle for longer than the limit.
func (s *Session) Expire() {
	s.host.log("transaction_expired", "request", s.lastRequestID, "database", s.database, "bound_ms", s.host.TransactionIdleTimeout().Milliseconds())
	s.failTransaction(Reply{})
}

func (s *Session) runInTransaction(ctx context.Context, r Request, arrived time.Time, writes bool, prepared *PreparedStatement) Reply {
	t := s.tx
	t.op.deadline = arrived.Add(t.op.route.Timeout)
	t.op.prepared = prepared
	if t.runsElsewhere() {
		if reply, ok := s.forwardInTransaction(ctx, r, arrived); ok {
			return reply
		}
		s.runHere(&t.op)
	}
	for {
		if t.conn == nil {
			err := s.beginOnMember(ctx)
			if errors.Is(err, errReroute) {
				if reply, ok := s.rerouteInTransaction(ctx, r, arrived); ok {
					return reply
				}
				continue
			}
			if err != nil {
				return s.failTransaction(Reply{Failure: asFailure(err)})
			}
		}
		reply, next := s.tryInTransaction(r, writes)
		if next == nil {
			return reply
		}
		if !s.host.now().Before(t.op.deadline) {
			return s.failTransaction(Reply{Failure: t.op.refusal(Aborted, "no time left")})
		}
		next.sleep(ctx)
	}
}

// asFailure returns the *Failure in the chain of err, or nil if there is none.
func asFailure(err error) *Failure {
	var f *Failure
	errors.As(err, &f)
	return f
}

// beginOnMember begins the transaction on a member. The error is errReroute or a *Failure.
func (s *Session) beginOnMember(ctx context.Context) error {
	t := s.tx
	op := &t.op
	for {
		if !s.host.passesOn() {
			return &Failure{Aborted, rolledBackDetail}
		}
		if f := op.outageRefusal(Aborted); f != nil && !op.need.Forwardable {
			return f
		}
		if !s.verifyPrimaryFirst(ctx, op) {
			return op.refusal(Aborted, "the primary could not be proven to lead in time")
		}
		op.need.Deadline = op.waitUntil()
		p, err := op.group.acquireConn(ctx, op.need)
		if errors.Is(err, errReroute) {
			return err
		}
		if err != nil {
			return op.noConnection(Aborted, err)
		}
		next := s.beginOnConn(p)
		if next == nil {
			t.conn = p
			return nil
		}
		if !op.group.now().Before(op.waitUntil()) {
			return op.refusal(Aborted, "no member could begin the transaction in time")
		}
		next.sleep(ctx)
	}
}

// beginOnConn begins the transaction on the connection. No statement of the caller has run yet, so
// any failure may be retried.
func (s *Session) beginOnConn(p *pooledConn) *retry {
	t := s.tx
	op, g := &t.op, t.op.group
	if !t.readOnly && g.connNeedsCheck(p, g.now()) && !s.checkConn(op, p) {
		return &retry{}
	}
	if next := s.releaseUnlessPrimary(op, p); next != nil {
		return next
	}
	if p.state.Unknown() { // what is refused again, along with a begin, could not be told from a copy
		if next := s.setUpConn(op, p); next != nil {
			return next
		}
	}
	sentAt := g.now()
	setup := p.state.Setup(s.values)
	// No statement of the caller runs before all answers are read.
	commands := append(toCommands(setup), OpenTransaction{ReadOnly: t.readOnly, After: op.need.MinPosition})
	replies, err := p.conn.Do(g.callTimeout(p.member, op.deadline.Sub(sentAt), false), commands...)
	if err != nil {
		g.discard(p, err)
		op.need.Avoid = p.member.ID
		return &retry{delay: unprovenDelay(err)}
	}
	reply := replies[len(replies)-1]
	if f := g.recordSetup(p, setup, replies); f != nil {
		op.need.Avoid = p.member.ID
		if reply.State == Idle {
			g.release(p)
		} else {
			t.conn = p
			t.rollback(s)
		}
		return &retry{delay: busyRetryInterval}
	}
	if reply.Failure != nil || reply.State != InTransaction {
		if reply.Failure == nil {
			reply.Failure = &Failure{Busy, "the transaction did not begin"}
		}
		_, next := s.handleReply(op, p, sentAt, reply)
		if next == nil {
			next = &retry{delay: busyRetryInterval}
		}
		return next
	}
	g.observePosition(p.member, sentAt, reply.Position)
	g.markIdleInTransaction(p)
	return nil
}

// tryInTransaction runs a statement once on the transaction's connection. It returns a reply, or
// why the statement is to be retried.
func (s *Session) tryInTransaction(r Request, writes bool) (Reply, *retry) {
	t := s.tx
	p, op, g := t.conn, &t.op, t.op.group
	if failure, err := s.setUpInTransaction(p); err != nil {
		return s.transactionBroken(r, p, err)
	} else if failure != nil {
		return s.restartTransaction("the session values could not be set: " + failure.Error())
	}
	if !s.host.passesOn() {
		return s.refuseStopping(r), nil
	}
	sentAt := g.now()
	define, name := p.prepareCommands(op.prepared)
	t.sentWrite = t.sentWrite || writes
	commands := append(toCommands(define), RunStatement{Request: r, Name: name})
	replies, err := p.conn.Do(g.callTimeout(p.member, op.deadline.Sub(sentAt), true), commands...)
	if err != nil {
		return s.transactionBroken(r, p, err)
	}
	g.noteAnswer(p.member, sentAt)
	g.recordSetup(p, define, replies)
	reply := replies[len(replies)-1]
	if reply.Failure == nil {
		t.answeredCount++
		return reply, nil
	}
	if reply.Failure.Code == UnknownPrepared && op.prepared != nil {
		p.state.Forget(*op.prepared)
		return s.restartTransaction("the statement could not be prepared: " + reply.Failure.Detail)
	}
	if reply.isBusyInTransaction() {
		g.noteOverload(p.member)
		return Reply{}, &retry{delay: busyRetryInterval}
	}
	if reply.Failure.Code == NotPrimary && !t.readOnly {
		g.notePrimaryRefusal(p.member.ID)
		if t.answeredCount == 0 {
			t.rollback(s)
			return Reply{}, &retry{}
		}
	}
	return s.failTransaction(reply), nil
}

// setUpInTransaction sets the session's values on the connection of the open transaction.
func (s *Session) setUpInTransaction(p *pooledConn) (*Failure, error) {
	g, op := s.tx.op.group, &s.tx.op
	setup, ok := p.state.SetupInTransaction(s.values)
	if !ok {
		return &Failure{Busy, "the values of the connection are not known"}, nil
	}
	return g.runSetup(p, setup, g.callTimeout(p.member, op.deadline.Sub(g.now()), true))
}

// transactionBroken handles the failure of the transaction's connection. The member rolls the transaction back.
func (s *Session) transactionBroken(r Request, p *pooledConn, err error) (Reply, *retry) {
	t := s.tx
	t.conn = nil
	t.op.group.discard(p, err)
	s.host.logAttempt(s, r, &t.op, p.member.ID, "broken", err)
	if t.answeredCount == 0 {
		t.op.need.Avoid = p.member.ID
		return Reply{}, &retry{delay: unprovenDelay(err)}
	}
	return s.failTransaction(Reply{Failure: t.op.notRun(Aborted, "the connection to "+p.member.ID+" failed")}), nil
}

// restartTransaction rolls the transaction back, and retries it if no statement of it has been answered.
func (s *Session) restartTransaction(reason string) (Reply, *retry) {
	t := s.tx
	if t.answeredCount > 0 {
		return s.failTransaction(Reply{Failure: t.op.notRun(Aborted, reason)}), nil
	}
	t.rollback(s)
	return Reply{}, &retry{delay: busyRetryInterval}
}
