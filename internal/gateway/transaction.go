package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/pause"
)

// transaction is an open transaction. It takes a connection with its first
// statement, so that a caller who pauses after the start holds nothing.
type transaction struct {
	readOnly bool
	started  time.Time
	work     operation
	// conn is nil until the first statement, and while the transaction runs on
	// another host.
	conn *pooledConn
	// away is set while the transaction runs on another host.
	away *remoteTransaction
	// answered counts statements whose answers the caller has.
	answered int
	// wrote is true once a write was sent to the member.
	wrote bool
}

func (s *Session) begin(st Begin, arrived time.Time) Reply {
	if s.state != Idle {
		return s.failed(failureReply(Malformed, "a transaction is open"))
	}
	w, failure := s.plan(arrived, !st.ReadOnly)
	if failure != nil {
		return Reply{Failure: failure}
	}
	w.reads, w.verify = true, w.verify || !st.ReadOnly
	s.tx = &transaction{readOnly: st.ReadOnly, started: arrived, work: w}
	s.state = InTransaction
	return Reply{}
}

// elsewhere reports whether the next statement is to go to another host: the transaction
// has begun there, or has not begun and other hosts serve the group.
func (t *transaction) elsewhere() bool {
	return t.away != nil || t.work.passOn && t.conn == nil
}

// rollbackTimeout bounds the rollback on a member. A connection that takes longer
// is closed, which rolls back as well.
const rollbackTimeout = 300 * time.Millisecond

// rollback frees the transaction's connection.
func (t *transaction) rollback(s *Session) {
	if t.away != nil {
		t.rollbackAway(s)
	}
	if t.conn == nil {
		return
	}
	p, g := t.conn, t.work.group
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

// Expire rolls back a transaction that rested for too long.
func (s *Session) Expire() {
	s.host.log("transaction_expired", "request", s.last, "database", s.database, "bound_ms", s.host.TransactionIdle().Milliseconds())
	s.failed(Reply{})
}

func (s *Session) runInTransaction(ctx context.Context, r Request, arrived time.Time, writes bool, shape *PreparedStatement) Reply {
	t := s.tx
	t.work.deadline = arrived.Add(t.work.route.Timeout)
	t.work.shape = shape
	if t.elsewhere() {
		if reply, ok := s.forwardInTransaction(ctx, r, arrived); ok {
			return reply
		}
		t.work.require(s.mark)
	}
	for {
		if t.conn == nil {
			err := s.attach(ctx)
			if errors.Is(err, errReroute) {
				if reply, ok := s.sendOnInTransaction(ctx, r, arrived); ok {
					return reply
				}
				continue
			}
			if err != nil {
				return s.failed(Reply{Failure: asFailure(err)})
			}
		}
		reply, next := s.tryInTransaction(r, writes)
		if next == nil {
			return reply
		}
		if !s.host.now().Before(t.work.deadline) {
			return s.failed(failureReply(Aborted, "no time left, "+retryAfter(0)))
		}
		next.pause(ctx)
	}
}

// asFailure returns the *Failure that err is.
func asFailure(err error) *Failure {
	var f *Failure
	errors.As(err, &f)
	return f
}

// attach begins the transaction on a member. The error is errReroute or a *Failure.
func (s *Session) attach(ctx context.Context) error {
	t := s.tx
	w := &t.work
	for {
		if f := w.hopeless(Aborted); f != nil && !w.need.SendOn {
			return f
		}
		if !s.proveFirst(ctx, w) {
			return &Failure{Aborted, "the primary could not be proven to lead in time, " + retryAfter(0)}
		}
		w.need.Deadline = w.waitUntil()
		p, err := w.group.acquire(ctx, w.need)
		if errors.Is(err, errReroute) {
			return err
		}
		if err != nil {
			return &Failure{Aborted, "no connection in time, " + retryAfter(0)}
		}
		next := s.open(p)
		if next == nil {
			t.conn = p
			return nil
		}
		if !w.group.now().Before(w.waitUntil()) {
			return &Failure{Aborted, "no member could begin the transaction in time, " + retryAfter(0)}
		}
		next.pause(ctx)
	}
}

// open begins the transaction on the connection. Nothing of the caller has run
// yet, so any failure may be tried again.
func (s *Session) open(p *pooledConn) *retry {
	t := s.tx
	w, g := &t.work, t.work.group
	if next := s.proven(w, p); next != nil {
		return next
	}
	if !t.readOnly && g.doubtful(p, g.now()) && !s.refresh(w, p) {
		return &retry{}
	}
	layout, _ := p.layout(s.values, nil)
	asked := g.now()
	commands := append(layout, OpenTransaction{ReadOnly: t.readOnly, After: w.need.After})
	replies, err := p.conn.Do(g.patience(p.member, w.deadline.Sub(asked), false), commands...)
	if err != nil {
		g.discard(p, err)
		w.need.Avoid = p.member.ID
		return &retry{}
	}
	reply := replies[len(replies)-1]
	if reply.Failure != nil || reply.State != InTransaction {
		if reply.Failure == nil {
			reply.Failure = &Failure{Busy, "the transaction did not begin"}
		}
		_, next := s.judge(w, p, asked, reply)
		if next == nil {
			next = &retry{wait: busyRetryInterval}
		}
		return next
	}
	g.observe(p.member, asked, reply.Position)
	g.rest(p)
	return nil
}

// tryInTransaction runs a statement on the transaction's connection.
func (s *Session) tryInTransaction(r Request, writes bool) (Reply, *retry) {
	t := s.tx
	p, w, g := t.conn, &t.work, t.work.group
	layout, name := p.layout(s.values, w.shape)
	asked := g.now()
	t.wrote = t.wrote || writes
	commands := append(layout, Forward{Request: r, Name: name})
	replies, err := p.conn.Do(g.patience(p.member, w.deadline.Sub(asked), true), commands...)
	if err != nil {
		t.conn = nil
		g.discard(p, err)
		s.host.logOffer(s, r, w, p.member.ID, "broken", err)
		if t.answered == 0 {
			// The member rolls back what the connection began.
			w.need.Avoid = p.member.ID
			return Reply{}, &retry{}
		}
		return s.failed(failureReply(Aborted, "the connection to "+p.member.ID+" failed, "+retryAfter(0))), nil
	}
	g.took(p.member, asked)
	reply := replies[len(replies)-1]
	if reply.Failure == nil {
		t.answered++
		return reply, nil
	}
	if reply.Failure.Code == Busy && reply.State == InTransaction {
		g.shed(p.member)
		return Reply{}, &retry{wait: busyRetryInterval}
	}
	if reply.Failure.Code == ReadOnly && !t.readOnly {
		g.lostLeader(p.member.ID)
		if t.answered == 0 {
			t.rollback(s)
			return Reply{}, &retry{}
		}
	}
	return s.failed(reply), nil
}

// commit ends the transaction on its member.
func (s *Session) commit(ctx context.Context, r Request, arrived time.Time) Reply {
	if s.state != InTransaction {
		return failureReply(Malformed, "no transaction is open")
	}
	t := s.tx
	t.work.deadline = arrived.Add(t.work.route.Timeout)
	t.work.shape = nil
	if t.elsewhere() {
		if reply, ok := s.forwardInTransaction(ctx, r, arrived); ok {
			s.tx, s.state = nil, Idle
			return reply
		}
		t.work.require(s.mark)
	}
	reply, settled := s.attachForCommit(ctx, r, arrived)
	if !settled {
		reply = s.sendCommit(ctx, r)
	}
	s.tx, s.state = nil, Idle
	return reply
}

// attachForCommit begins a transaction that has run nothing yet. It returns true if the
// commit was answered by that.
func (s *Session) attachForCommit(ctx context.Context, r Request, arrived time.Time) (Reply, bool) {
	for s.tx.conn == nil {
		err := s.attach(ctx)
		if errors.Is(err, errReroute) {
			if reply, ok := s.sendOnInTransaction(ctx, r, arrived); ok {
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
	p, w, g := t.conn, &t.work, t.work.group
	for {
		asked := g.now()
		ended := g.wrote()
		replies, err := p.conn.Do(g.patience(p.member, w.deadline.Sub(asked), true), Forward{Request: r})
		ended(err == nil && replies[0].Failure == nil)
		if err != nil {
			g.discard(p, err)
			s.host.logOffer(s, r, w, p.member.ID, "broken", err)
			if !t.wrote {
				return failureReply(Aborted, "the connection failed; nothing was written, "+retryAfter(0))
			}
			return failureReply(InDoubt, "the connection to "+p.member.ID+" failed after the commit was sent")
		}
		reply := replies[0]
		if reply.Failure != nil && reply.Failure.Code == Busy && reply.State == InTransaction && g.now().Before(w.deadline) {
			pause.For(ctx, busyRetryInterval)
			continue
		}
		s.committed(p, asked, reply)
		if t.wrote && reply.Failure == nil && !g.stands(p.member.ID, reply.Position.Term) {
			return failureReply(InDoubt, p.member.ID+" may have been replaced as it acknowledged the commit")
		}
		return reply
	}
}

// committed settles the connection after a member's answer to a commit.
func (s *Session) committed(p *pooledConn, asked time.Time, reply Reply) {
	t, g := s.tx, s.tx.work.group
	g.observe(p.member, asked, reply.Position)
	if reply.Failure == nil && t.wrote {
		s.raise(reply.Position)
	}
	if reply.Failure != nil && reply.Failure.Code == ReadOnly {
		g.lostLeader(p.member.ID)
	}
	if reply.State != Idle {
		t.rollback(s)
		return
	}
	g.release(p)
}
