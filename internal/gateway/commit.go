package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/pause"
)

// commit commits the transaction on its member or on the host where it runs.
func (s *Session) commit(ctx context.Context, r Request, arrived time.Time) Reply {
	if s.state != InTransaction {
		return failureReply(Malformed, "no transaction is open")
	}
	t := s.tx
	t.op.deadline = arrived.Add(t.op.route.Timeout)
	t.op.prepared = nil
	if t.runsElsewhere() {
		if reply, ok := s.forwardInTransaction(ctx, r, arrived); ok {
			s.tx, s.state = nil, Idle
			return reply
		}
		s.runHere(&t.op)
	}
	reply, answered := s.beginForCommit(ctx, r, arrived)
	if !answered {
		reply = s.sendCommit(ctx, r)
	}
	s.tx, s.state = nil, Idle
	return reply
}

// beginForCommit begins on a member a transaction that has run no statement yet, so that its
// commit can be sent. It returns true if the begin failed or another host has answered the commit. The
// reply is then the reply to the commit.
func (s *Session) beginForCommit(ctx context.Context, r Request, arrived time.Time) (Reply, bool) {
	for s.tx.conn == nil {
		err := s.beginOnMember(ctx)
		if errors.Is(err, errReroute) {
			if reply, ok := s.rerouteInTransaction(ctx, r, arrived); ok {
				return reply, true
			}
			continue
		}
		if err != nil {
			return Reply{Failure: asFailure(err)}, true
		}
	}
	return Reply{}, false
}

func (s *Session) sendCommit(ctx context.Context, r Request) Reply {
	t := s.tx
	p, op, g := t.conn, &t.op, t.op.group
	// The session may have set values since its last statement.
	if failure, err := s.setUpInTransaction(p); err != nil {
		t.conn = nil
		g.discard(p, err)
		return Reply{Failure: op.notRun(Aborted, "the connection to "+p.member.ID+" failed before the commit was sent")}
	} else if failure != nil {
		t.rollback(s)
		return Reply{Failure: op.notRun(Aborted, "the session values could not be set: "+failure.Error())}
	}
	for {
		switch {
		case s.host.passesOn():
		case t.commitRepeated:
			return s.commitBroken(r, errUnprovenAnswer)
		default:
			return s.refuseStopping(r)
		}
		sentAt := g.now()
		reply, err := s.commitOnce(r, sentAt)
		if reply.isBusyInTransaction() && g.now().Before(op.deadline) {
			pause.For(ctx, busyRetryInterval)
			continue
		}
		if err != nil {
			return s.commitBroken(r, err)
		}
		s.finishCommit(p, sentAt, reply)
		if t.sentWrite && reply.Failure == nil && !g.confirmWrite(p.member.ID, reply.Position, op.deadline) {
			return failureReply(InDoubt, p.member.ID+" may have been replaced as it acknowledged the commit")
		}
		return reply
	}
}

// commitOnce sends the commit and returns the reply to it. A refusal of a commit that was sent again says nothing of the earlier
// ones, so it comes with an error.
func (s *Session) commitOnce(r Request, sentAt time.Time) (Reply, error) {
	t := s.tx
	p, g := t.conn, t.op.group
	done := g.beginWrite()
	replies, err := p.conn.Do(g.callTimeout(p.member, t.op.deadline.Sub(sentAt), true), RunStatement{Request: r})
	done(err == nil && replies[0].Failure == nil)
	if busy := (*unprovenBusy)(nil); errors.As(err, &busy) {
		t.commitRepeated = true
		return Reply{Failure: busy.failure, State: InTransaction}, err
	}
	if err != nil {
		return Reply{}, err
	}
	reply := replies[0]
	if t.commitRepeated && reply.Failure != nil {
		return reply, errors.Wrap(errUnprovenAnswer, reply.Failure.Error())
	}
	return reply, nil
}

// isBusyInTransaction reports whether the reply refuses a statement for lack of a slot and leaves the transaction open.
func (r Reply) isBusyInTransaction() bool {
	return r.Failure != nil && r.Failure.Code == Busy && r.State == InTransaction
}

// commitBroken handles the failure of the connection that the commit was sent on.
func (s *Session) commitBroken(r Request, err error) Reply {
	t := s.tx
	p, op := t.conn, &t.op
	op.group.discard(p, err)
	s.host.logAttempt(s, r, op, p.member.ID, "broken", err)
	if !t.sentWrite {
		return Reply{Failure: op.notRun(Aborted, "the connection failed; nothing was written")}
	}
	return failureReply(InDoubt, "the connection to "+p.member.ID+" failed after the commit was sent")
}

// finishCommit releases the connection after a member's reply to a commit, or rolls back if the
// transaction is still open.
func (s *Session) finishCommit(p *pooledConn, sentAt time.Time, reply Reply) {
	t, g := s.tx, s.tx.op.group
	if !t.commitRepeated { // else the answer may be that to a commit sent before sentAt
		g.observePosition(p.member, sentAt, reply.Position)
	}
	if reply.Failure == nil && t.sentWrite {
		s.advanceLastWrite(reply.Position)
	}
	if reply.Failure != nil && reply.Failure.Code == NotPrimary {
		g.notePrimaryRefusal(p.member.ID)
	}
	switch {
	case t.commitRepeated:
		g.discard(p, nil)
	case reply.State != Idle:
		t.rollback(s)
	default:
		g.release(p)
	}
}
