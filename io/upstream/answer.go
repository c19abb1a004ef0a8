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
	// flushSize is how much of an answer is collected before it is passed on, in
	// bytes.
	flushSize = 16 << 10
	// maxHeldBytes bounds the part of an answer that waits for the confirmation of a
	// write, in bytes.
	maxHeldBytes = 4 << 20
)

// answer is the state of an answer that is being read.
type answer struct {
	unit         *statement.Unit
	sink         Sink
	stage        wrapStage
	extraReplies int // answers to messages that the caller did not send, still due
	// heldFrom is the offset in buf from which bytes wait for a confirmation, or -1.
	heldFrom   int
	failed     bool // an ErrorResponse was read
	repliesDue int  // messages still due, for Counted
}

// wrapStage says where in the answer to a wrapped read the reader is.
type wrapStage int

// The stages. A read that runs on the primary is wrapped in BEGIN READ ONLY and
// COMMIT, so that a SELECT whose function writes is refused as on a replica,
// and runs anew as a write.
const (
	stageUnwrapped wrapStage = iota
	stageBegin               // the answer to BEGIN READ ONLY is due
	stageUnit                // the answer to the unit is due
	stageCommit              // the answer to COMMIT is due
)

// Simple queries around a wrapped read.
var (
	beginReadOnly = encodeQuery("BEGIN READ ONLY")
	commitRead    = encodeQuery("COMMIT")
)

func encodeQuery(sql string) []byte {
	return postgres.EndFrame(append(postgres.BeginFrame(nil, postgres.TypeQuery), sql+"\x00"...), 0)
}

// needsReadOnlyTx reports whether the unit must be wrapped.
func (x *Exchange) needsReadOnlyTx(u *statement.Unit) bool {
	return !x.replica && !x.open && u.Kind == statement.Read && !u.ControlsTransaction && u.ReplyEnd == statement.EndsWithReady
}

// run sends a unit and reads its answer.
func (x *Exchange) run(ctx context.Context, u *statement.Unit, sink Sink) (statement.Outcome, error) {
	stop := x.enforceDeadline(ctx, u)
	defer stop()
	if u.Kind == statement.Write {
		x.wrote = true
	}
	wrapped := x.needsReadOnlyTx(u)
	extra, err := x.conn.send(u, wrapped)
	if err != nil {
		return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
	}
	if u.ReplyEnd == statement.EndsWithoutReply {
		return statement.Outcome{CopyIn: true}, nil
	}
	a := &answer{unit: u, sink: sink, extraReplies: extra, heldFrom: -1, repliesDue: u.Replies}
	if wrapped {
		a.stage = stageBegin
	}
	x.buf, x.delivered = x.buf[:0], false
	out, err := x.readAnswer(ctx, a)
	if a.failed && len(u.Prepared) > 0 {
		x.conn.forgetPrepared(u.Prepared)
	}
	if err != nil {
		return out, err
	}
	if u.Pins && !a.failed {
		x.pinned = true
	}
	out.Pinned = x.pinned
	x.open = out.Continues()
	return out, x.flush(a, len(x.buf))
}

// enforceDeadline makes the connection fail when the caller goes away or its deadline
// passes. It returns a function that ends this.
func (x *Exchange) enforceDeadline(ctx context.Context, u *statement.Unit) func() {
	c := x.conn
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	timeout := time.AfterFunc(time.Until(u.Deadline), func() { x.cancelAtDeadline(c) })
	return func() {
		timeout.Stop()
		if !stop() {
			// The connection's deadline has passed, and would meet its next user.
			x.owner.pool.markUnusable(c)
		}
	}
}

// cancelAtDeadline cancels a statement whose caller's deadline has passed. Cancel dooms
// the connection, so that its deadline meets nobody else.
func (x *Exchange) cancelAtDeadline(c *conn) {
	_ = c.net.SetDeadline(time.Now().Add(deadlineCloseDelay))
	ctx, cancel := context.WithTimeout(context.Background(), deadlineCloseDelay)
	defer cancel()
	_ = x.Cancel(ctx)
}

// deadlineCloseDelay is how long after a caller's deadline its connection is closed.
// The statement is canceled at the deadline, which usually ends it in order.
const deadlineCloseDelay = 500 * time.Millisecond

// readAnswer reads messages until the unit's answer is complete.
func (x *Exchange) readAnswer(ctx context.Context, a *answer) (statement.Outcome, error) {
	for {
		start := len(x.buf)
		buf, err := postgres.ReadFrame(x.conn.r, x.buf)
		if err != nil {
			return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
		}
		x.buf = buf
		frame := postgres.Frame(buf[start:])
		if x.dropExtraReply(a, frame, start) || x.dropWrapperMessage(a, frame, start) {
			continue
		}
		switch frame.Type() {
		case postgres.TypeReadyForQuery:
			return x.handleReady(ctx, a, frame.Body()[0])
		case postgres.TypeCopyInResponse:
			return statement.Outcome{CopyIn: true}, nil
		case postgres.TypeErrorResponse:
			a.failed = true
			if x.isRefusedWrite(a, frame) {
				return statement.Outcome{}, x.drainRefusal(a)
			}
		case postgres.TypeCommandComplete:
			if a.heldFrom < 0 && !x.replica {
				a.heldFrom = start
			}
		}
		if a.unit.ReplyEnd == statement.EndsAfterReplies && a.countReply(frame) {
			return statement.Outcome{Status: postgres.StatusInTransaction}, nil
		}
		if err := x.flushChunk(a); err != nil {
			return statement.Outcome{}, err
		}
	}
}

// dropWrapperMessage drops the messages of a wrapped read's own transaction, and reports
// whether it dropped this one.
func (x *Exchange) dropWrapperMessage(a *answer, f postgres.Frame, start int) bool {
	ready := f.Type() == postgres.TypeReadyForQuery
	switch {
	case a.stage == stageBegin:
		if ready {
			a.stage = stageUnit
		}
	case a.stage == stageUnit && ready:
		a.stage = stageCommit
	case a.stage == stageCommit && !ready:
	default:
		return false
	}
	x.buf = x.buf[:start]
	return true
}

// dropExtraReply drops the answers to messages that the caller did not send. They come
// first; an error among them stands for the whole unit.
func (x *Exchange) dropExtraReply(a *answer, f postgres.Frame, start int) bool {
	if a.extraReplies == 0 || f.Type() != postgres.TypeParseComplete && f.Type() != postgres.TypeCloseComplete {
		return false
	}
	a.extraReplies--
	x.buf = x.buf[:start]
	return true
}

// isRefusedWrite reports whether a replica, or the transaction around a wrapped
// read, refused the first unit of an exchange because it writes.
func (x *Exchange) isRefusedWrite(a *answer, f postgres.Frame) bool {
	if !x.replica && a.stage != stageUnit || x.delivered {
		return false
	}
	var e pgproto3.ErrorResponse
	return e.Decode(f.Body()) == nil && e.Code == postgres.CodeReadOnly
}

// drainRefusal reads to the end of a refused unit, so that the connection can be
// used again.
func (x *Exchange) drainRefusal(a *answer) error {
	status, err := x.conn.skipToReady()
	if a.stage == stageUnit && err == nil {
		status, err = x.conn.skipToReady()
	}
	if err != nil || status != postgres.StatusIdle {
		// Inside BEGIN READ ONLY the caller itself must see the error.
		return errors.Wrap(errConnFailed, "after a refused write")
	}
	return errReadOnly
}

// countReply counts an answer to a message before Flush and reports whether it was
// the last one due.
func (a *answer) countReply(f postgres.Frame) bool {
	switch f.Type() {
	case postgres.TypeErrorResponse:
		return true
	case postgres.TypeParseComplete, postgres.TypeBindComplete, postgres.TypeCloseComplete,
		postgres.TypeParameterDescription, postgres.TypeRowDescription, postgres.TypeNoData,
		postgres.TypeCommandComplete, postgres.TypeEmptyQuery, postgres.TypePortalSuspended:
		a.repliesDue--
	}
	return a.repliesDue <= 0
}

// flushChunk passes a full chunk on, up to where bytes are held.
func (x *Exchange) flushChunk(a *answer) error {
	end := len(x.buf)
	if a.heldFrom >= 0 {
		if end-a.heldFrom > maxHeldBytes {
			return errors.New("the answer is too large to hold until its write is confirmed")
		}
		end = a.heldFrom
	}
	if end < flushSize {
		return nil
	}
	return x.flush(a, end)
}

// flush passes the first end bytes on.
func (x *Exchange) flush(a *answer, end int) error {
	if end == 0 {
		return nil
	}
	if err := x.awaitReadLease(a); err != nil {
		return err
	}
	if err := a.sink(x.buf[:end]); err != nil {
		return errors.Wrap(err, "pass the answer on")
	}
	x.delivered = true
	n := copy(x.buf, x.buf[end:])
	x.buf = x.buf[:n]
	if a.heldFrom >= 0 {
		a.heldFrom -= end
	}
	return nil
}

// awaitReadLease waits until the owner's lease covers an answer of a replica whose
// session may have written through another owner.
func (x *Exchange) awaitReadLease(a *answer) error {
	if !x.replica || x.delivered || x.request.NeverWrote {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.unit.Deadline)
	defer cancel()
	return x.owner.awaitLease(ctx)
}

// handleReady ends a unit at ReadyForQuery. What a transaction on the primary did or
// saw is confirmed before its end is passed on.
func (x *Exchange) handleReady(ctx context.Context, a *answer, status byte) (statement.Outcome, error) {
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
		return x.owner.lastPosition(), nil
	}
	if x.owner.isHandingOver() {
		return group.Position{}, x.confirmBySuccessor(ctx)
	}
	p, err := x.owner.confirm(ctx, x.term)
	if err != nil && x.owner.isHandingOver() {
		return group.Position{}, x.confirmBySuccessor(ctx)
	}
	x.owner.stats.confirmTime.UpdateSince(started)
	return p, err
}

// confirmBySuccessor has the next owner confirm: this one has given the owner lock away,
// and only the holder's word shows that no other primary reigns.
func (x *Exchange) confirmBySuccessor(ctx context.Context) error {
	if x.owner.options.Successor == nil {
		return errUnconfirmed
	}
	return x.owner.options.Successor.Confirm(ctx, x.term, x.request.Session)
}
