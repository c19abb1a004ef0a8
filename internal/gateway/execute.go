package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/internal/pause"
)

// runStatement answers a read or a write.
func (s *Session) runStatement(ctx context.Context, r Request, arrived time.Time) Reply {
	writes, shape, failure := s.resolvePrepared(r)
	if failure != nil {
		return s.failTransaction(Reply{Failure: failure})
	}
	if s.state == InTransaction {
		return s.runInTransaction(ctx, r, arrived, writes, shape)
	}
	w, failure := s.planOperation(arrived, writes)
	if failure != nil {
		return Reply{Failure: failure}
	}
	w.prepared = shape
	w.deadline = arrived.Add(w.route.Timeout)
	return s.runSingle(ctx, r, w)
}

// runSingle runs a statement outside a transaction. It offers the statement
// again only while it has certainly not run, or when it only reads.
func (s *Session) runSingle(ctx context.Context, r Request, w operation) Reply {
	if w.servedElsewhere {
		if reply, ok := s.runOnOtherHost(ctx, r, &w); ok {
			return reply
		}
		w.setRequirements(s.lastWrite)
	}
	for {
		if f := w.outageRefusal(Busy); f != nil && !w.need.Forwardable {
			return Reply{Failure: f}
		}
		if !s.verifyPrimaryFirst(ctx, &w) {
			return busyReply(w)
		}
		w.need.Deadline = w.waitUntil()
		p, err := w.group.acquire(ctx, w.need)
		if errors.Is(err, errReroute) {
			if reply, ok := s.reroute(ctx, r, &w); ok {
				return reply
			}
			continue
		}
		if err != nil {
			return busyReply(w)
		}
		reply, next := s.attempt(r, &w, p)
		if next == nil {
			return reply
		}
		if !w.group.now().Before(w.waitUntil()) {
			return next.finalReply(w)
		}
		s.host.metrics.retry(w.group.name, next.reason())
		next.sleep(ctx)
	}
}

// runOnOtherHost runs a statement of a group that others serve: on the replica of this host's zone if
// it reads and that can, or on a host that serves. It returns false if none took it.
func (s *Session) runOnOtherHost(ctx context.Context, r Request, w *operation) (Reply, bool) {
	if !w.writes {
		if reply, ok := s.runOnLocalReplica(ctx, r, w); ok {
			return reply, true
		}
	}
	return s.forwardSingle(ctx, r, w)
}

// retry says why a statement is offered again.
type retry struct {
	failure *Failure
	delay   time.Duration
}

func (a *retry) sleep(ctx context.Context) {
	if a.delay > 0 {
		pause.For(ctx, a.delay)
	}
}

// reason names why, for counting.
func (a *retry) reason() string {
	if a.failure == nil {
		return "moved"
	}
	return a.failure.Code.String()
}

func (a *retry) finalReply(w operation) Reply {
	if a.failure != nil {
		return Reply{Failure: a.failure}
	}
	return busyReply(w)
}

// attempt runs a statement once on the connection. It returns an answer, or why the
// statement is to be offered again.
func (s *Session) attempt(r Request, w *operation, p *pooledConn) (Reply, *retry) {
	g := w.group
	if next := s.checkPrimary(w, p); next != nil {
		return Reply{}, next
	}
	asked := g.now()
	left := w.deadline.Sub(asked)
	if w.writes && g.connNeedsCheck(p, asked) && !s.checkConn(w, p) {
		return Reply{}, &retry{}
	}
	layout, name := p.setupCommands(s.values, w.prepared)
	commands := append(layout, Forward{Request: r, After: w.need.MinPosition, Name: name})
	ended := func(bool) {}
	if w.writes {
		ended = g.beginWrite()
	}
	replies, err := p.conn.Do(g.callTimeout(p.member, left, w.writes), commands...)
	ended(err == nil && replies[len(replies)-1].Failure == nil)
	if err != nil {
		g.discard(p, err)
		w.need.Avoid = p.member.ID
		return s.handleBrokenConn(r, w, p, err)
	}
	reply := replies[len(replies)-1]
	return s.handleReply(w, p, asked, reply)
}

const (
	// staleConnAge is how long a connection may have been unused before a
	// write is preceded by a question of our own: a connection that went silent
	// would leave the write's outcome unknown.
	staleConnAge = 500 * time.Millisecond
	// minReadTimeout is the least time for which a read is left with a member, and readTimeoutFactor
	// how many times its average, beyond that. One statement in 100 takes five times as long as
	// usual, and a member with a full queue ten times; of reads whose answer is lost at a member
	// that takes 15 ms, the next offer comes after 120 ms.
	minReadTimeout    = 100 * time.Millisecond
	readTimeoutFactor = 8
	// connCheckTimeout bounds the question before a write on an unused connection.
	connCheckTimeout = 150 * time.Millisecond
)

// connNeedsCheck reports whether a connection may have gone silent: it was not used for a
// while, or its member failed to answer on another one.
func (g *Group) connNeedsCheck(p *pooledConn, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(p.poolConn.LastUsed()) > staleConnAge || !p.member.silentSince.IsZero()
}

// callTimeout is how long a member has to answer: all that is left, unless the statement can be
// offered again elsewhere. Then it has many times as long as it usually takes: an answer that was
// lost would else hold a read until half of its time has gone by.
func (g *Group) callTimeout(m *member, left time.Duration, once bool) time.Duration {
	if once {
		return max(left, time.Millisecond)
	}
	g.mu.Lock()
	usual := m.poolMember.Latency()
	g.mu.Unlock()
	if usual == 0 {
		usual = minReadTimeout
	}
	return max(min(left, max(readTimeoutFactor*usual, minReadTimeout)), time.Millisecond)
}

// verifyPrimaryFirst makes sure that the primary leads, so that what it answers misses nothing that was
// acknowledged before the statement arrived. That may take questions, and connections to the
// primary are few: none is held meanwhile. It returns false when time is up.
func (s *Session) verifyPrimaryFirst(ctx context.Context, w *operation) bool {
	if !w.needsPrimaryCheck {
		return true
	}
	g := w.group
	g.notePrimaryNeeded()
	g.prewarm(w.need.Account)
	call, cancel := context.WithTimeout(ctx, w.waitUntil().Sub(g.now()))
	defer cancel()
	for !w.need.Forwardable || !g.primaryUnreachable() {
		leader := g.primaryMember().ID
		if leader == "" || g.verifyPrimary(call, leader, w.primarySince()) {
			return true
		}
		if !pause.For(call, verifyRetryInterval) {
			return false
		}
	}
	return true
}

// primarySince returns since when the primary must be known to have led.
func (w *operation) primarySince() time.Time {
	if w.writes && !w.freshReads {
		return w.need.ArrivedAt.Add(-maxWriteCheckAge) // whether it is kept is settled afterwards
	}
	return w.need.ArrivedAt
}

// checkPrimary returns why the statement is to be offered again, or nil if the member is known to lead
// where it must.
func (s *Session) checkPrimary(w *operation, p *pooledConn) *retry {
	g := w.group
	if !w.needsPrimaryCheck || g.isKnownPrimary(p.member.ID, w.primarySince()) {
		return nil
	}
	g.release(p)
	return &retry{}
}

// maxWriteCheckAge is how old a proof may be that lets a write be sent: as long as it takes to find
// out that a primary is lost. It spares a question for each write while there is no lease.
const maxWriteCheckAge = 600 * time.Millisecond

// verifyRetryInterval is the pause before a leadership is to be proven again that could not be.
const verifyRetryInterval = 20 * time.Millisecond

// checkConn asks whether the connection still works.
func (s *Session) checkConn(w *operation, p *pooledConn) bool {
	_, err := p.conn.Do(connCheckTimeout, Reset{})
	if err != nil {
		w.group.discard(p, err)
		return false
	}
	clear(p.values)
	clear(p.prepared)
	return true
}

// handleBrokenConn decides what a connection that failed means for a statement.
func (s *Session) handleBrokenConn(r Request, w *operation, p *pooledConn, err error) (Reply, *retry) {
	s.host.logAttempt(s, r, w, p.member.ID, "broken", err)
	if w.writes {
		return failureReply(InDoubt, "the connection to "+p.member.ID+" failed after the write was sent"), nil
	}
	return Reply{}, &retry{failure: &Failure{TimedOut, "no answer from " + p.member.ID}}
}

// busyRetryInterval is the pause before a member with a full queue is asked again: one
// short statement's time.
const busyRetryInterval = 8 * time.Millisecond

// handleReply decides what a member's answer means for a statement.
func (s *Session) handleReply(w *operation, p *pooledConn, asked time.Time, reply Reply) (Reply, *retry) {
	g := w.group
	g.noteLatency(p.member, asked)
	g.noteApplied(p.member, reply.Position)
	g.observePosition(p.member, asked, reply.Position)
	if reply.Failure == nil {
		g.noteSuccess(p.member)
		if w.writes {
			s.advanceLastWrite(reply.Position)
		}
		g.release(p)
		if w.writes && !g.confirmWrite(p.member.ID, reply.Position.Term) {
			return failureReply(InDoubt, p.member.ID+" may have been replaced as it acknowledged the write"), nil
		}
		return reply, nil
	}
	next := &retry{failure: reply.Failure}
	switch reply.Failure.Code {
	case Busy:
		g.noteOverload(p.member)
		w.need.Avoid = p.member.ID
		next.delay = busyRetryInterval
	case Lagging:
		g.noteLag(p.member, reply.Position)
	case ReadOnly:
		g.notePrimaryRefusal(p.member.ID)
	case UnknownStatement:
		clear(p.prepared)
	case Failed, TimedOut:
		if w.writes || w.need.Avoid != "" {
			g.release(p)
			return reply, nil
		}
		w.need.Avoid = p.member.ID
	default:
		g.release(p)
		return reply, nil
	}
	g.release(p)
	return Reply{}, next
}

// advanceLastWrite lifts the session's mark.
func (s *Session) advanceLastWrite(p group.Position) {
	if p.Compare(s.lastWrite) > 0 {
		s.lastWrite = p
	}
}

// failTransaction breaks a transaction, if there is one, and returns the reply.
func (s *Session) failTransaction(reply Reply) Reply {
	if s.tx != nil {
		s.tx.rollback(s)
		s.tx = nil
		s.state = InFailedTransaction
	}
	return reply
}
