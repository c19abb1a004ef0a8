package upstream

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

const (
	// chunk is how much of an answer is collected before it is passed on, in
	// bytes.
	chunk = 16 << 10
	// maxHeld bounds the part of an answer that waits for the confirmation of a
	// write, in bytes.
	maxHeld = 4 << 20
)

// answering is the state of an answer that is being read.
type answering struct {
	unit  *statement.Unit
	sink  Sink
	stage stage
	extra int // answers to messages that the caller did not send, still due
	// held is the offset in buf from which bytes wait for a confirmation, or -1.
	held   int
	failed bool // an ErrorResponse was read
	left   int  // messages still due, for Counted
}

// stage says where in the answer to a wrapped read the reader is.
type stage int

// The stages. A read that runs on the primary is wrapped in BEGIN READ ONLY and
// COMMIT, so that a SELECT whose function writes is refused as on a replica,
// and runs anew as a write.
const (
	unwrapped stage = iota
	opening         // the answer to BEGIN READ ONLY is due
	inside          // the answer to the unit is due
	closing         // the answer to COMMIT is due
)

// Simple queries around a wrapped read.
var (
	beginReadOnly = simpleQuery("BEGIN READ ONLY")
	commitRead    = simpleQuery("COMMIT")
)

func simpleQuery(sql string) []byte {
	return postgres.EndFrame(append(postgres.BeginFrame(nil, postgres.TypeQuery), sql+"\x00"...), 0)
}

// wraps reports whether the unit must be wrapped.
func (x *Exchange) wraps(u *statement.Unit) bool {
	return !x.replica && !x.open && u.Kind == statement.Read && !u.ControlsTransaction && u.ReplyEnd == statement.EndsWithReady
}

// run sends a unit and reads its answer.
func (x *Exchange) run(ctx context.Context, u *statement.Unit, sink Sink) (statement.Outcome, error) {
	stop := x.bound(ctx, u)
	defer stop()
	if u.Kind == statement.Write {
		x.wrote = true
	}
	wrapped := x.wraps(u)
	extra, err := x.conn.send(u, wrapped)
	if err != nil {
		return statement.Outcome{}, errors.Wrap(errRead, err.Error())
	}
	if u.ReplyEnd == statement.EndsWithoutReply {
		return statement.Outcome{CopyIn: true}, nil
	}
	a := &answering{unit: u, sink: sink, extra: extra, held: -1, left: u.Replies}
	if wrapped {
		a.stage = opening
	}
	x.buf, x.passed = x.buf[:0], false
	out, err := x.read(ctx, a)
	if a.failed && len(u.Prepared) > 0 {
		x.conn.forget(u.Prepared)
	}
	if err != nil {
		return out, err
	}
	if u.Pins && !a.failed {
		x.pinned = true
	}
	out.Pinned = x.pinned
	x.open = out.Continues()
	return out, x.pass(a, len(x.buf))
}

// bound makes the connection fail when the caller goes away or its deadline
// passes. It returns a function that ends this.
func (x *Exchange) bound(ctx context.Context, u *statement.Unit) func() {
	c := x.conn
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	timeout := time.AfterFunc(time.Until(u.Deadline), func() { x.timeout(c) })
	return func() {
		timeout.Stop()
		if !stop() {
			// The connection's deadline has passed, and would meet its next user.
			x.owner.pool.doom(c)
		}
	}
}

// timeout cancels a statement whose caller's deadline has passed. Cancel dooms
// the connection, so that its deadline meets nobody else.
func (x *Exchange) timeout(c *conn) {
	_ = c.net.SetDeadline(time.Now().Add(deadlineGrace))
	ctx, cancel := context.WithTimeout(context.Background(), deadlineGrace)
	defer cancel()
	_ = x.Cancel(ctx)
}

// deadlineGrace is how long after a caller's deadline its connection is closed.
// The statement is canceled at the deadline, which usually ends it in order.
const deadlineGrace = 500 * time.Millisecond

// read reads messages until the unit's answer is complete.
func (x *Exchange) read(ctx context.Context, a *answering) (statement.Outcome, error) {
	for {
		start := len(x.buf)
		buf, err := postgres.ReadFrame(x.conn.r, x.buf)
		if err != nil {
			return statement.Outcome{}, errors.Wrap(errRead, err.Error())
		}
		x.buf = buf
		frame := postgres.Frame(buf[start:])
		if x.swallow(a, frame, start) || x.wrapping(a, frame, start) {
			continue
		}
		switch frame.Type() {
		case postgres.TypeReadyForQuery:
			return x.ready(ctx, a, frame.Body()[0])
		case postgres.TypeCopyInResponse:
			return statement.Outcome{CopyIn: true}, nil
		case postgres.TypeErrorResponse:
			a.failed = true
			if x.refusedWrite(a, frame) {
				return statement.Outcome{}, x.drainRefusal(a)
			}
		case postgres.TypeCommandComplete:
			if a.held < 0 && !x.replica {
				a.held = start
			}
		}
		if a.unit.ReplyEnd == statement.EndsAfterReplies && a.counted(frame) {
			return statement.Outcome{Status: postgres.StatusInTx}, nil
		}
		if err := x.passOn(a); err != nil {
			return statement.Outcome{}, err
		}
	}
}

// wrapping drops the messages of a wrapped read's own transaction, and reports
// whether it dropped this one.
func (x *Exchange) wrapping(a *answering, f postgres.Frame, start int) bool {
	ready := f.Type() == postgres.TypeReadyForQuery
	switch {
	case a.stage == opening:
		if ready {
			a.stage = inside
		}
	case a.stage == inside && ready:
		a.stage = closing
	case a.stage == closing && !ready:
	default:
		return false
	}
	x.buf = x.buf[:start]
	return true
}

// swallow drops the answers to messages that the caller did not send. They come
// first; an error among them stands for the whole unit.
func (x *Exchange) swallow(a *answering, f postgres.Frame, start int) bool {
	if a.extra == 0 || f.Type() != postgres.TypeParseComplete && f.Type() != postgres.TypeCloseComplete {
		return false
	}
	a.extra--
	x.buf = x.buf[:start]
	return true
}

// refusedWrite reports whether a replica, or the transaction around a wrapped
// read, refused the first unit of an exchange because it writes.
func (x *Exchange) refusedWrite(a *answering, f postgres.Frame) bool {
	if !x.replica && a.stage != inside || x.passed {
		return false
	}
	var e pgproto3.ErrorResponse
	return e.Decode(f.Body()) == nil && e.Code == postgres.CodeReadOnly
}

// drainRefusal reads to the end of a refused unit, so that the connection can be
// used again.
func (x *Exchange) drainRefusal(a *answering) error {
	status, err := x.conn.skipToReady()
	if a.stage == inside && err == nil {
		status, err = x.conn.skipToReady()
	}
	if err != nil || status != postgres.StatusIdle {
		// Inside BEGIN READ ONLY the caller itself must see the error.
		return errors.Wrap(errRead, "after a refused write")
	}
	return errReadOnly
}

// counted counts an answer to a message before Flush and reports whether it was
// the last one due.
func (a *answering) counted(f postgres.Frame) bool {
	switch f.Type() {
	case postgres.TypeErrorResponse:
		return true
	case postgres.TypeParseComplete, postgres.TypeBindComplete, postgres.TypeCloseComplete,
		postgres.TypeParameterDescrip, postgres.TypeRowDescription, postgres.TypeNoData,
		postgres.TypeCommandComplete, postgres.TypeEmptyQuery, postgres.TypePortalSuspended:
		a.left--
	}
	return a.left <= 0
}

// passOn passes a full chunk on, up to where bytes are held.
func (x *Exchange) passOn(a *answering) error {
	end := len(x.buf)
	if a.held >= 0 {
		if end-a.held > maxHeld {
			return errors.New("the answer is too large to hold until its write is confirmed")
		}
		end = a.held
	}
	if end < chunk {
		return nil
	}
	return x.pass(a, end)
}

// pass passes the first end bytes on.
func (x *Exchange) pass(a *answering, end int) error {
	if end == 0 {
		return nil
	}
	if err := x.covered(a); err != nil {
		return err
	}
	if err := a.sink(x.buf[:end]); err != nil {
		return errors.Wrap(err, "pass the answer on")
	}
	x.passed = true
	n := copy(x.buf, x.buf[end:])
	x.buf = x.buf[:n]
	if a.held >= 0 {
		a.held -= end
	}
	return nil
}

// covered waits until the owner's lease covers an answer of a replica whose
// session may have written through another owner.
func (x *Exchange) covered(a *answering) error {
	if !x.replica || x.passed || x.request.NeverWrote {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.unit.Deadline)
	defer cancel()
	return x.owner.awaitLease(ctx)
}

// ready ends a unit at ReadyForQuery. What a transaction on the primary did or
// saw is confirmed before its end is passed on.
func (x *Exchange) ready(ctx context.Context, a *answering, status byte) (statement.Outcome, error) {
	out := statement.Outcome{Status: status}
	if x.replica || status != postgres.StatusIdle {
		return out, nil
	}
	if a.failed && !x.wrote {
		return out, nil
	}
	p, err := x.confirm(ctx, a.unit.Deadline)
	if x.wrote && p.LSN > 0 {
		x.owner.marks.Raise(x.request.Session, p)
	}
	x.wrote = false
	return out, err
}

func (x *Exchange) confirm(ctx context.Context, deadline time.Time) (group.Position, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	started := time.Now()
	if x.owner.options.Unsafe.SkipConfirm {
		return x.owner.seen(), nil
	}
	if x.owner.handing() {
		return group.Position{}, x.delegate(ctx)
	}
	p, err := x.owner.confirm(ctx, x.term)
	if err != nil && x.owner.handing() {
		return group.Position{}, x.delegate(ctx)
	}
	x.owner.stats.confirmTime.UpdateSince(started)
	return p, err
}

// delegate has the next owner confirm: this one has given the owner lock away,
// and only the holder's word shows that no other primary reigns.
func (x *Exchange) delegate(ctx context.Context) error {
	if x.owner.options.Successor == nil {
		return errUnconfirmed
	}
	return x.owner.options.Successor.Confirm(ctx, x.term, x.request.Session)
}
