package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/connstate"
	"pearlatch/core/group"
	"pearlatch/internal/pause"
)

// runStatement answers a read, a write or the execution of a prepared statement.
func (s *Session) runStatement(ctx context.Context, r Request, arrived time.Time) Reply {
	writes, prepared, failure := s.resolvePrepared(r)
	if failure != nil {
		return s.failTransaction(Reply{Failure: failure})
	}
	if s.state == InTransaction {
		return s.runInTransaction(ctx, r, arrived, writes, prepared)
	}
	op, failure := s.planOperation(arrived, writes)
	if failure != nil {
		return Reply{Failure: failure}
	}
	op.prepared = prepared
	op.deadline = arrived.Add(op.route.Timeout)
	if f := s.admit(ctx, &op, arrived); f != nil {
		return Reply{Failure: f}
	}
	return s.runSingle(ctx, r, op)
}

// runSingle runs a statement outside a transaction. It retries the statement only if it has
// certainly not run or only reads.
func (s *Session) runSingle(ctx context.Context, r Request, op operation) Reply {
	if op.shouldForward {
		if reply, ok := s.runOnOtherHost(ctx, r, &op); ok {
			return reply
		}
		s.runHere(&op)
	}
	for {
		if f := s.refusalHere(&op); f != nil {
			return Reply{Failure: f}
		}
		if !s.verifyPrimaryFirst(ctx, &op) {
			return busyReply(op)
		}
		op.need.Deadline = op.waitUntil()
		p, err := op.group.acquireConn(ctx, op.need)
		if errors.Is(err, errReroute) {
			if reply, ok := s.reroute(ctx, r, &op); ok {
				return reply
			}
			continue
		}
		if err != nil {
			return Reply{Failure: op.noConnection(Busy, err)}
		}
		reply, next := s.attempt(r, &op, p)
		if next == nil {
			return reply
		}
		if !s.mayRetry(&op, next) {
			return next.finalReply(op)
		}
		s.host.metrics.Retry(op.group.name, next.reason())
		next.sleep(ctx)
	}
}

// refusalHere returns a failure if the host is stopping or the primary is not expected back in time, or nil.
func (s *Session) refusalHere(op *operation) *Failure {
	if !s.host.passesOn() {
		return &Failure{Busy, stoppingDetail}
	}
	if f := op.outageRefusal(Busy); f != nil && !op.need.Forwardable {
		return f
	}
	return nil
}

// mayRetry reports whether a statement is to be tried again. A read that may have run is not refused as one that has not.
func (s *Session) mayRetry(op *operation, r *retry) bool {
	return op.group.now().Before(op.waitUntil()) && (s.host.passesOn() || !r.hasRun())
}

// runOnOtherHost runs a statement of a group that other hosts serve: a read on the local replica
// if that can answer it, otherwise on a serving host. It returns false if no host took it.
func (s *Session) runOnOtherHost(ctx context.Context, r Request, op *operation) (Reply, bool) {
	if !op.writes {
		if reply, ok := s.runOnLocalReplica(ctx, r, op); ok {
			return reply, true
		}
	}
	if f := op.overloadRefusal(Busy); f != nil {
		return Reply{Failure: f}, true
	}
	return s.forwardSingle(ctx, r, op)
}

// retry says why a statement is to be retried, and after which delay.
type retry struct {
	failure *Failure
	delay   time.Duration
}

func (r *retry) sleep(ctx context.Context) {
	if r.delay > 0 {
		pause.For(ctx, r.delay)
	}
}

// reason returns the reason as a label for metrics.
func (r *retry) reason() string {
	if r.failure == nil {
		return "moved"
	}
	return r.failure.Code.String()
}

// hasRun reports whether the statement may have run.
func (r *retry) hasRun() bool { return r.failure != nil && !r.failure.Code.NotRun() }

func (r *retry) finalReply(op operation) Reply {
	switch {
	case r.failure == nil:
		return busyReply(op)
	case r.failure.Code == UnknownPrepared:
		// The caller's statement is known to its session. The member refused to prepare it.
		return Reply{Failure: op.refusal(Busy, "the statement could not be prepared: "+r.failure.Detail)}
	case r.failure.Code.NotRun():
		return Reply{Failure: op.refusal(r.failure.Code, r.failure.Detail)}
	}
	return Reply{Failure: r.failure}
}

// attempt runs a statement once on the connection. It returns a reply, or why the statement is to
// be retried.
func (s *Session) attempt(r Request, op *operation, p *pooledConn) (Reply, *retry) {
	g := op.group
	if op.writes && g.connNeedsCheck(p, g.now()) && !s.checkConn(op, p) {
		return Reply{}, &retry{}
	}
	if next := s.setUpConn(op, p); next != nil {
		return Reply{}, next
	}
	if next := s.releaseUnlessPrimary(op, p); next != nil {
		return Reply{}, next
	}
	if !s.host.passesOn() {
		g.release(p)
		return Reply{}, &retry{}
	}
	sentAt := g.now()
	remaining := op.deadline.Sub(sentAt)
	define, name := p.prepareCommands(op.prepared)
	commands := append(toCommands(define), RunStatement{Request: r, After: op.need.MinPosition, Name: name})
	done := func(bool) {}
	if op.writes {
		done = g.beginWrite()
	}
	replies, err := p.conn.Do(g.callTimeout(p.member, remaining, op.writes), commands...)
	done(err == nil && replies[len(replies)-1].Failure == nil)
	if err == nil {
		g.recordSetup(p, define, replies)
	}
	if err != nil {
		g.discard(p, err)
		op.need.Avoid = p.member.ID
		return s.handleBrokenConn(r, op, p, err)
	}
	reply := replies[len(replies)-1]
	return s.handleReply(op, p, sentAt, reply)
}

const (
	// staleConnAge is how long a connection may be unused before a write on it is preceded by a
	// check. If the connection had silently failed, the outcome of the write would be unknown.
	staleConnAge = 500 * time.Millisecond
	// minReadTimeout is the minimum time that a member has to answer a read, and readTimeoutFactor
	// the multiple of the member's average latency that it has if that is longer. One statement in
	// 100 takes five times as long as usual, and at a member with a full queue ten times. If a
	// reply is lost at a member that takes 15 ms, the read is retried after 120 ms.
	minReadTimeout    = 100 * time.Millisecond
	readTimeoutFactor = 8
	// connCheckTimeout bounds the check before a write on an unused connection.
	connCheckTimeout = 150 * time.Millisecond
)

// connNeedsCheck reports whether a connection may have silently failed: it has not been used for a
// while, or its member did not answer on another connection.
func (g *Group) connNeedsCheck(p *pooledConn, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(p.poolConn.LastUsed()) > staleConnAge || !p.member.silentSince.IsZero()
}

// callTimeout returns how long a member has to answer: all of the remaining time if the statement
// must not be repeated, otherwise a multiple of the member's usual latency. Without that bound a
// lost reply would hold up a read until half of its time has passed.
func (g *Group) callTimeout(m *member, remaining time.Duration, mustNotRepeat bool) time.Duration {
	if mustNotRepeat {
		return max(remaining, time.Millisecond)
	}
	g.mu.Lock()
	latency := m.poolMember.Latency()
	g.mu.Unlock()
	if latency == 0 {
		latency = minReadTimeout
	}
	return max(min(remaining, max(readTimeoutFactor*latency, minReadTimeout)), time.Millisecond)
}

// verifyPrimaryFirst makes sure that the member believed to be the primary still is, so that its
// reply includes everything that was acknowledged before the statement arrived. Members may have to
// be asked, and connections to the primary are scarce, so none is held meanwhile. It returns false
// if the time to wait is over. Writes also wait while the switchover target receives nothing: they would be lost once it
// leads. It returns true without a check if no primary is known or the
// statement is to be rerouted.
func (s *Session) verifyPrimaryFirst(ctx context.Context, op *operation) bool {
	if !op.needsPrimaryCheck {
		return true
	}
	g := op.group
	g.notePrimaryNeeded()
	g.prewarm(op.need.Account)
	checkCtx, cancel := context.WithTimeout(ctx, op.waitUntil().Sub(g.now()))
	defer cancel()
	for !op.need.Forwardable || !g.primaryUnreachable() {
		primary := g.primaryMember().ID
		if primary == "" || !(op.writes && g.handoverStalls(checkCtx)) && g.verifyPrimary(checkCtx, primary, op.earliestPrimaryCheck()) {
			return true
		}
		if !pause.For(checkCtx, verifyRetryInterval) {
			return false
		}
	}
	return true
}

// earliestPrimaryCheck returns the earliest time at which the primary may have been confirmed for
// the operation. An earlier primary check does not suffice.
func (op *operation) earliestPrimaryCheck() time.Time {
	if op.writes && !op.freshReads {
		return op.need.ArrivedAt.Add(-maxWriteCheckAge) // confirmWrite checks afterwards whether the write is kept
	}
	return op.need.ArrivedAt
}

// releaseUnlessPrimary returns nil if the member is known to be the primary, or if the operation
// does not require that. Otherwise it releases the connection and returns a retry.
func (s *Session) releaseUnlessPrimary(op *operation, p *pooledConn) *retry {
	g := op.group
	if !op.needsPrimaryCheck || g.isKnownPrimary(p.member.ID, op.earliestPrimaryCheck()) {
		return nil
	}
	g.release(p)
	return &retry{}
}

// maxWriteCheckAge is the maximum age of the primary check with which a write may be sent: the
// time that it takes to detect the loss of a primary. It avoids a check for each write while there
// is no lease.
const maxWriteCheckAge = 600 * time.Millisecond

// verifyRetryInterval is the pause before a failed primary check is repeated.
const verifyRetryInterval = 20 * time.Millisecond

// checkConn reports whether the connection still works. A connection that does not is discarded;
// one that does is reset.
func (s *Session) checkConn(op *operation, p *pooledConn) bool {
	if _, err := op.group.runSetup(p, []setupCommand{connstate.Reset[PreparedStatement]{}}, connCheckTimeout); err != nil {
		op.group.discard(p, err)
		return false
	}
	return true
}

// setUpConn sets the session's values on the connection. If it can't, it frees the connection and returns a retry: the
// statement has not been sent.
func (s *Session) setUpConn(op *operation, p *pooledConn) *retry {
	g := op.group
	failure, err := g.setUp(p, s.values, g.callTimeout(p.member, op.deadline.Sub(g.now()), false))
	if err != nil {
		g.discard(p, err)
		op.need.Avoid = p.member.ID
		return &retry{delay: unprovenDelay(err)}
	}
	if failure == nil {
		return nil
	}
	op.need.Avoid = p.member.ID
	if failure.Code == Busy {
		g.noteOverload(p.member)
	}
	g.release(p)
	return &retry{failure: &Failure{Busy, "the session values could not be set: " + failure.Error()}, delay: busyRetryInterval}
}

// unprovenDelay returns the delay before a command is tried again after its connection failed with err. A member that answers at
// once must not be asked again at once on ever new connections.
func unprovenDelay(err error) time.Duration {
	if isUnproven(err) {
		return busyRetryInterval
	}
	return 0
}

// handleBrokenConn handles the failure of the connection that a statement was sent on. A write is
// in doubt; a read is retried.
func (s *Session) handleBrokenConn(r Request, op *operation, p *pooledConn, err error) (Reply, *retry) {
	s.host.logAttempt(s, r, op, p.member.ID, "broken", err)
	if op.writes {
		return failureReply(InDoubt, "the connection to "+p.member.ID+" failed after the write was sent"), nil
	}
	return Reply{}, &retry{failure: &Failure{TimedOut, "no answer from " + p.member.ID}, delay: unprovenDelay(err)}
}

// busyRetryInterval is the pause before a member with a full queue is asked again: the duration of
// one short statement.
const busyRetryInterval = 8 * time.Millisecond

// handleReply updates the group and the session from a member's reply. It returns the reply, or
// why the statement is to be retried.
func (s *Session) handleReply(op *operation, p *pooledConn, sentAt time.Time, reply Reply) (Reply, *retry) {
	g := op.group
	g.noteAnswer(p.member, sentAt)
	g.noteApplied(p.member, sentAt, reply.Position)
	g.observePosition(p.member, sentAt, reply.Position)
	if reply.Failure == nil {
		g.noteSuccess(p.member)
		if op.writes {
			s.advanceLastWrite(reply.Position)
		}
		g.releaseAfter(p, reply)
		if op.writes && !g.confirmWrite(p.member.ID, reply.Position, op.deadline) {
			return failureReply(InDoubt, p.member.ID+" may have been replaced as it acknowledged the write"), nil
		}
		return reply, nil
	}
	next := &retry{failure: reply.Failure}
	switch reply.Failure.Code {
	case Busy:
		g.noteOverload(p.member)
		op.need.Avoid = p.member.ID
		next.delay = busyRetryInterval
	case Lagging:
		g.noteLag(p.member, reply.Position)
	case NotPrimary:
		g.notePrimaryRefusal(p.member.ID)
	case UnknownPrepared:
		if op.prepared != nil {
			p.state.Forget(*op.prepared)
		}
		next.delay = busyRetryInterval
	case Failed, TimedOut:
		if op.writes || op.need.Avoid != "" {
			g.releaseAfter(p, reply)
			return reply, nil
		}
		op.need.Avoid = p.member.ID
	default:
		g.releaseAfter(p, reply)
		return reply, nil
	}
	g.releaseAfter(p, reply)
	return Reply{}, next
}

// advanceLastWrite raises the position of the session's last write to p if p is higher.
func (s *Session) advanceLastWrite(p group.Position) {
	if p.Compare(s.lastWrite) > 0 {
		s.lastWrite = p
	}
}

// failTransaction rolls back the open transaction, if any, marks it failed, and returns the reply.
func (s *Session) failTransaction(reply Reply) Reply {
	if s.tx != nil {
		s.tx.rollback(s)
		s.tx = nil
		s.state = InFailedTransaction
	}
	return reply
}
