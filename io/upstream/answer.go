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
	// flushSize is how many bytes of an answer are buffered before they are passed
	// to the sink.
	flushSize = 16 << 10
	// maxHeldBytes is the maximum size of the part of an answer that is held back
	// until a write is confirmed.
	maxHeldBytes = 4 << 20
)

// answer is the state of reading the answer to one unit.
type answer struct {
	unit         *statement.Unit
	sink         Sink
	stage        wrapStage
	extraReplies int // replies still due to messages that the caller did not send
	// heldFrom is the offset in Exchange.buf from which bytes are held back until
	// the write is confirmed, or -1.
	heldFrom   int
	failed     bool // an ErrorResponse was read
	repliesDue int  // replies still due, for statement.ExpectReplies
	// wrapperDone is true once the BEGIN or COMMIT of the stage has succeeded.
	wrapperDone bool
}

// wrapStage is the part of a wrapped read whose answer is being read.
type wrapStage int

// The stages. A read that runs on the primary is wrapped in BEGIN READ ONLY and
// COMMIT, so that a SELECT that calls a writing function is refused as on a
// replica, and is run again as a write.
const (
	stageUnwrapped wrapStage = iota
	stageBegin               // the answer to BEGIN READ ONLY is due
	stageUnit                // the answer to the unit is due
	stageCommit              // the answer to COMMIT is due
)

// The messages around a wrapped read.
var (
	beginReadOnly = encodeQuery("BEGIN READ ONLY")
	commitRead    = encodeQuery("COMMIT")
)

// encodeQuery returns the encoded Query message of a simple query.
func encodeQuery(sql string) []byte {
	return postgres.EndFrame(append(postgres.BeginFrame(nil, postgres.TypeQuery), sql+"\x00"...), 0)
}

// needsReadOnlyTx reports whether the unit must be wrapped in a read-only
// transaction.
func (x *Exchange) needsReadOnlyTx(u *statement.Unit) bool {
	return !x.replica && !x.open && u.Kind == statement.Read && !u.ControlsTransaction && u.ReplyEnd == statement.EndsWithReady
}

// run sends a unit on the exchange's connection and passes its answer to sink. The
// error wraps errConnFailed if the connection failed, and errReadOnly if the unit
// was refused because it writes.
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

// enforceDeadline makes I/O on the connection fail when ctx ends, and cancels the
// statement when the unit's deadline passes. The returned function stops both.
func (x *Exchange) enforceDeadline(ctx context.Context, u *statement.Unit) func() {
	c := x.conn
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	answered := false // guarded by x.mu
	timeout := time.AfterFunc(time.Until(u.Deadline), func() { x.cancelAtDeadline(c, &answered) })
	return func() {
		timeout.Stop()
		x.mu.Lock()
		answered = true
		x.mu.Unlock()
		if !stop() {
			// The connection now has a deadline in the past, which would fail the
			// next exchange that uses it.
			x.owner.pool.markUnusable(c)
		}
	}
}

// cancelAtDeadline cancels a statement whose deadline has passed, unless it has been
// answered meanwhile.
func (x *Exchange) cancelAtDeadline(c *conn, answered *bool) {
	x.mu.Lock()
	if *answered {
		x.mu.Unlock()
		return
	}
	// Marked before the exchange can release it, so that the deadline and the cancel
	// request affect no other exchange.
	x.owner.pool.markUnusable(c)
	_ = c.net.SetDeadline(time.Now().Add(deadlineCloseDelay))
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadlineCloseDelay)
	defer cancel()
	_ = x.cancelOn(ctx, c)
}

// deadlineCloseDelay is the time between a statement's deadline and the I/O
// deadline of its connection. The statement is canceled at its deadline, and
// usually ends in order before the connection fails.
const deadlineCloseDelay = 500 * time.Millisecond

// readAnswer reads messages until the unit's answer is complete, and passes on
// what need not be held back.
func (x *Exchange) readAnswer(ctx context.Context, a *answer) (statement.Outcome, error) {
	for {
		frame, start, err := x.nextFrame(a)
		if err != nil {
			return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
		}
		switch frame.Type() {
		case postgres.TypeReadyForQuery:
			return x.handleReady(ctx, a, frame)
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

// nextFrame reads the next message that replies to the caller. The message starts at
// x.buf[start].
func (x *Exchange) nextFrame(a *answer) (f postgres.Frame, start int, err error) {
	for dropped := true; dropped && err == nil; dropped, err = x.dropOwnReply(a, f, start) {
		start = len(x.buf)
		if x.buf, err = postgres.ReadFrame(x.conn.r, x.buf); err != nil {
			return nil, start, err
		}
		f = postgres.Frame(x.buf[start:])
	}
	return f, start, err
}

// dropOwnReply drops the message if it replies to a message that the caller did not
// send, and reports whether it did.
func (x *Exchange) dropOwnReply(a *answer, f postgres.Frame, start int) (bool, error) {
	if x.dropExtraReply(a, f, start) {
		return true, nil
	}
	return x.dropWrapperMessage(a, f, start)
}

// dropWrapperMessage drops the message if it belongs to the BEGIN or COMMIT around
// a wrapped read, and reports whether it did. The error means that another message
// arrived in its place.
func (x *Exchange) dropWrapperMessage(a *answer, f postgres.Frame, start int) (bool, error) {
	ready := f.Type() == postgres.TypeReadyForQuery
	switch {
	case a.stage == stageUnwrapped, a.stage == stageUnit && !ready:
		return false, nil
	case a.stage == stageUnit:
		a.stage = stageCommit
	case !ready:
		if err := a.checkWrapperMessage(f); err != nil {
			return false, err
		}
	case !a.wrapperDone:
		return false, errors.New("ReadyForQuery in place of the answer to BEGIN or COMMIT")
	case a.stage == stageBegin:
		a.stage, a.wrapperDone = stageUnit, false
	default:
		return false, nil
	}
	x.buf = x.buf[:start]
	return true, nil
}

// checkWrapperMessage checks that a message before ReadyForQuery belongs to the answer
// to BEGIN or COMMIT: without that, an answer that belongs to another statement would
// shift all that follow.
func (a *answer) checkWrapperMessage(f postgres.Frame) error {
	switch f.Type() {
	case postgres.TypeNotice, postgres.TypeNotification, postgres.TypeParameterStatus:
		return nil
	case postgres.TypeCommandComplete:
		tag := f.CommandTag()
		if !a.wrapperDone && (a.stage == stageBegin && tag == "BEGIN" || a.stage == stageCommit && (tag == "COMMIT" || tag == "ROLLBACK")) {
			a.wrapperDone = true
			return nil
		}
		return errors.Errorf("command tag %q in place of the answer to BEGIN or COMMIT", tag)
	}
	return errors.Errorf("message of type %q in place of the answer to BEGIN or COMMIT", f.Type())
}

// dropExtraReply drops the message if it replies to a Parse or Close that the
// caller did not send, and reports whether it did. These replies come first. An
// error among them is passed on as the error of the whole unit.
func (x *Exchange) dropExtraReply(a *answer, f postgres.Frame, start int) bool {
	if a.extraReplies == 0 || a.stage == stageBegin || f.Type() != postgres.TypeParseComplete && f.Type() != postgres.TypeCloseComplete {
		return false
	}
	a.extraReplies--
	x.buf = x.buf[:start]
	return true
}

// isRefusedWrite reports whether the ErrorResponse f shows that a replica or a
// read-only transaction refused the unit because it writes. It returns false once a
// part of the answer was passed on.
func (x *Exchange) isRefusedWrite(a *answer, f postgres.Frame) bool {
	if !x.replica && a.stage != stageUnit || x.delivered {
		return false
	}
	var e pgproto3.ErrorResponse
	return e.Decode(f.Body()) == nil && e.Code == postgres.CodeReadOnly
}

// drainRefusal reads the rest of the answer to a refused unit, so that the
// connection can be used again. It returns errReadOnly, or another error if the
// connection cannot be used again.
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

// countReply counts a reply to a message sent before Flush and reports whether it
// was the last one due. An error ends the replies.
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

// flushChunk passes buffered bytes to the sink if there are at least flushSize that
// need not be held back. It fails if the held part exceeds maxHeldBytes.
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

// flush passes the first end bytes of the buffer to the sink.
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

// awaitReadLease waits, before the first bytes of a replica's answer are passed on,
// until the owner's read lease is valid. Sessions that never wrote need no lease:
// the lease guards against writes acknowledged by another owner.
func (x *Exchange) awaitReadLease(a *answer) error {
	if !x.replica || x.delivered || x.request.NeverWrote {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.unit.Deadline)
	defer cancel()
	return x.owner.awaitLease(ctx)
}

// handleReady returns the outcome of a unit at ReadyForQuery. When a transaction on
// the primary has ended, everything that it wrote or read is confirmed first.
func (x *Exchange) handleReady(ctx context.Context, a *answer, f postgres.Frame) (statement.Outcome, error) {
	status, err := f.ReadyStatus()
	if err != nil {
		return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
	}
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

// confirm waits until a majority of the members holds what the primary has written
// so far. While the group is handed over, the next owner confirms instead, and the
// returned position is zero.
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

// confirmBySuccessor asks the next owner to confirm. This owner has released the
// owner lock, and only its holder knows that no other primary was promoted.
func (x *Exchange) confirmBySuccessor(ctx context.Context) error {
	if x.owner.options.Successor == nil {
		return errUnconfirmed
	}
	return x.owner.options.Successor.Confirm(ctx, x.term, x.request.Session)
}
