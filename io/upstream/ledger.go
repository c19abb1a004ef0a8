package upstream

import (
	"context"
	"encoding/base64"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// The request ledger is the table pearlatch.requests (id text primary key, outcome
// text). A request's row is written in the request's own transaction. It therefore
// exists if and only if the request took effect, also on a member promoted later.

// maxOutcome is the maximum size of an answer kept in the ledger, in bytes.
const maxOutcome = 256 << 10

// runsAtMostOnce reports whether the unit must take effect at most once under its
// request identifier. Within a transaction of the caller the identifier has no
// effect, since the caller's COMMIT decides.
func (x *Exchange) runsAtMostOnce(u *statement.Unit) bool {
	return u.RequestID != "" && !x.open && !u.ControlsTransaction && u.ReplyEnd == statement.EndsWithReady
}

// runOnce runs a unit under its request identifier. If a request with the identifier
// has taken effect before, it passes on the recorded outcome instead.
func (x *Exchange) runOnce(ctx context.Context, u *statement.Unit, sink Sink) (statement.Outcome, error) {
	claimed, err := x.conn.exec(simpleTimeout, "BEGIN; INSERT INTO pearlatch.requests (id) VALUES ("+quote(u.RequestID)+")", "BEGIN", "INSERT 0 1")
	if err != nil {
		return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
	}
	switch {
	case claimed.code == "":
	case claimed.code == postgres.CodeUniqueViolation:
		return x.replayOutcome(ctx, u, sink)
	case postgres.NotRun(claimed.code):
		return statement.Outcome{}, errors.Wrap(errConnFailed, claimed.message)
	default:
		_, _ = x.conn.exec(simpleTimeout, "ROLLBACK", "ROLLBACK")
		return statement.Outcome{}, &statement.Refusal{
			Code: claimed.code, Reason: "the request could not be entered into the ledger: " + claimed.message, NotRun: true,
		}
	}
	answer, status, err := x.collect(ctx, u)
	if err != nil {
		return statement.Outcome{}, err
	}
	if status == postgres.StatusFailed {
		return x.deliverFailure(answer, sink)
	}
	if err := x.recordOutcome(u, answer); err != nil {
		return statement.Outcome{}, err
	}
	return x.deliver(ctx, u, answer, sink)
}

// collect runs the unit inside the ledger's transaction and returns its answer
// without ReadyForQuery, and the transaction status.
func (x *Exchange) collect(ctx context.Context, u *statement.Unit) (answer []byte, status byte, err error) {
	x.open = true // keeps run from wrapping the unit
	defer func() { x.open = false }()
	out, err := x.run(ctx, u, func(b []byte) error {
		answer = append(answer, b...)
		return nil
	})
	x.delivered = false
	if err != nil {
		return nil, 0, err
	}
	if out.Status != postgres.StatusInTransaction && out.Status != postgres.StatusFailed {
		return nil, 0, errors.Errorf("the request ended the transaction of the ledger: COPY and transaction control cannot carry an identifier")
	}
	return answer[:len(answer)-readySize], out.Status, nil
}

// readySize is the size of a ReadyForQuery message, in bytes.
const readySize = postgres.HeaderSize + 1

// deliverFailure rolls back the ledger's transaction and passes on the answer to a
// request that failed. The request had no effect and no row, and may be repeated.
func (x *Exchange) deliverFailure(answer []byte, sink Sink) (statement.Outcome, error) {
	if _, err := x.conn.exec(simpleTimeout, "ROLLBACK", "ROLLBACK"); err != nil {
		return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
	}
	out := statement.Outcome{Status: postgres.StatusIdle}
	return out, sink(postgres.AppendReady(answer, postgres.StatusIdle))
}

// recordOutcome writes the outcome to the ledger and commits.
func (x *Exchange) recordOutcome(u *statement.Unit, answer []byte) error {
	outcome := messageTypes(u) + ":"
	if len(answer) <= maxOutcome {
		outcome += base64.StdEncoding.EncodeToString(answer)
	}
	done, err := x.conn.exec(simpleTimeout, "UPDATE pearlatch.requests SET outcome = "+quote(outcome)+
		" WHERE id = "+quote(u.RequestID)+"; COMMIT", "UPDATE 1", "COMMIT")
	if err != nil {
		return errors.Wrap(errConnFailed, err.Error())
	}
	if postgres.NotRun(done.code) {
		// The member is no longer the primary. Nothing was committed, and the
		// ledger makes a retry on the next primary safe.
		return errors.Wrap(errConnFailed, done.message)
	}
	if done.code != "" {
		_, _ = x.conn.exec(simpleTimeout, "ROLLBACK", "ROLLBACK")
		return &statement.Refusal{Code: done.code, Reason: "the request was rolled back: " + done.message}
	}
	return nil
}

// deliver waits until the request's effects are confirmed and passes its answer on.
func (x *Exchange) deliver(ctx context.Context, u *statement.Unit, answer []byte, sink Sink) (statement.Outcome, error) {
	p, err := x.confirm(ctx, u.Deadline)
	if p.LSN > 0 {
		x.owner.marks.Raise(x.request.Session, group.Position{Term: p.Term, LSN: p.LSN})
	}
	if err != nil {
		return statement.Outcome{}, err
	}
	x.delivered = true
	return statement.Outcome{Status: postgres.StatusIdle}, sink(postgres.AppendReady(answer, postgres.StatusIdle))
}

// replayOutcome passes on the recorded outcome of a request that took effect before.
func (x *Exchange) replayOutcome(ctx context.Context, u *statement.Unit, sink Sink) (statement.Outcome, error) {
	if _, err := x.conn.exec(simpleTimeout, "ROLLBACK", "ROLLBACK"); err != nil {
		return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
	}
	kept, err := x.conn.exec(simpleTimeout, "SELECT outcome FROM pearlatch.requests WHERE id = "+quote(u.RequestID), "SELECT")
	if err != nil {
		return statement.Outcome{}, errors.Wrap(errConnFailed, err.Error())
	}
	types, encoded, _ := strings.Cut(kept.value, ":")
	answer, err := base64.StdEncoding.DecodeString(encoded)
	switch {
	case kept.code != "" || err != nil || encoded == "":
		return statement.Outcome{}, &statement.Refusal{Code: postgres.CodeUniqueViolation,
			Reason: "the request has run before; its answer was not kept"}
	case types != messageTypes(u):
		return statement.Outcome{}, &statement.Refusal{Code: postgres.CodeUniqueViolation,
			Reason: "the request has run before; repeat it with the same protocol messages to get its answer"}
	}
	return x.deliver(ctx, u, answer, sink)
}

// messageTypes returns the types of a unit's messages. A recorded answer is valid
// only for a unit with the same sequence of message types.
func messageTypes(u *statement.Unit) string {
	var out []byte
	for rest := u.Data; len(rest) >= postgres.HeaderSize; {
		f := postgres.Frame(rest)
		out = append(out, f.Type())
		rest = rest[min(f.Size(), len(rest)):]
	}
	return string(out)
}

// queryResult is the result of a simple query that pearlatch runs itself.
type queryResult struct {
	code, message string // of the first error, if any
	value         string // first column of the first row
	hasValue      bool
	status        byte
}

// simpleTimeout is the timeout of a simple query that pearlatch runs itself.
const simpleTimeout = 5 * time.Second

// exec runs a simple query that pearlatch needs itself, and reads its whole answer
// within the timeout. An ErrorResponse is returned in the result, not as an error. If
// there is none, the command tags of the answer must begin with the given ones, or the
// answer belongs to another statement.
func (c *conn) exec(timeout time.Duration, sql string, tags ...string) (queryResult, error) {
	var out queryResult
	_ = c.net.SetDeadline(time.Now().Add(timeout))
	defer func() { _ = c.net.SetDeadline(time.Time{}) }()
	if _, err := c.net.Write(encodeQuery(sql)); err != nil {
		return out, err
	}
	var buf []byte
	var got []string
	for {
		var err error
		if buf, err = postgres.ReadFrame(c.r, buf[:0]); err != nil {
			return out, err
		}
		f := postgres.Frame(buf)
		switch f.Type() {
		case postgres.TypeCommandComplete:
			got = append(got, f.CommandTag())
		case postgres.TypeReadyForQuery:
			if out.code == "" && !slices.EqualFunc(got, tags, strings.HasPrefix) {
				return out, errors.Errorf("command tags %q, want %q", got, tags)
			}
			out.status, err = f.ReadyStatus()
			return out, err
		default:
			if err := out.add(f); err != nil {
				return out, err
			}
		}
	}
}

// add adds a message of the answer to the result.
func (r *queryResult) add(f postgres.Frame) error {
	switch f.Type() {
	case postgres.TypeErrorResponse:
		var e pgproto3.ErrorResponse
		if err := e.Decode(f.Body()); err != nil {
			return err
		}
		if r.code == "" {
			r.code, r.message = e.Code, e.Message
		}
	case postgres.TypeDataRow:
		var row pgproto3.DataRow
		if err := row.Decode(f.Body()); err != nil {
			return err
		}
		if !r.hasValue && len(row.Values) > 0 {
			r.value, r.hasValue = string(row.Values[0]), true
		}
	}
	return nil
}
