package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// Sink takes the bytes of an answer as they come. It must not keep them.
type Sink = func([]byte) error

// Exchange runs the units of one caller from the first statement of a
// transaction to its end, on one connection. Its methods but Cancel must be
// called from one goroutine.
type Exchange struct {
	owner   *Owner
	request *statement.Request

	mu   sync.Mutex
	conn *conn

	term        group.Term // under which conn was taken
	replica     bool       // conn leads to a replica
	requirement freshness.Requirement
	wrote       bool // a unit of the open transaction may have written
	open        bool // the exchange goes on after its last unit
	pinned      bool
	delivered   bool // a part of the present answer was delivered on
	buf         []byte
}

// Begin opens an exchange. Nothing is sent until its first unit.
func (o *Owner) Begin(r *statement.Request) *Exchange {
	return &Exchange{owner: o, request: r}
}

// Do runs a unit and passes its answer to sink. The error is a
// *statement.Refusal when the unit got no answer that may be passed on; then the
// exchange is over.
func (x *Exchange) Do(ctx context.Context, u *statement.Unit, sink Sink) (statement.Outcome, error) {
	for {
		first := x.conn == nil
		if first {
			if err := x.acquireConn(ctx, u); err != nil {
				return statement.Outcome{}, err
			}
		}
		run := x.run
		if x.runsAtMostOnce(u) {
			run = x.runOnce
		}
		out, err := run(ctx, u, sink)
		if err == nil {
			out.Wrote = u.Kind == statement.Write
			if !out.Continues() {
				x.releaseConn(true)
			}
			return out, nil
		}
		x.releaseConn(errors.Is(err, errReadOnly) || x.owner.options.Unsafe.ReuseUndrained)
		if first && x.prepareRetry(u, err) {
			continue
		}
		return statement.Outcome{}, x.refusal(u, err)
	}
}

// errReadOnly means that a replica refused a unit before running it.
var errReadOnly = errors.New("the replica refused a write")

// errConnFailed means that the connection failed before the answer was complete.
var errConnFailed = errors.New("the connection failed")

// prepareRetry reports whether a failed first unit may be run anew, and prepares that.
func (x *Exchange) prepareRetry(u *statement.Unit, err error) bool {
	if !time.Now().Before(u.Deadline) {
		return false
	}
	switch {
	case errors.Is(err, errReadOnly):
		u.Kind = statement.Write
		x.request.NeverWrote = false
		return true
	case x.delivered:
		return false
	case errors.Is(err, errConnFailed), errors.Is(err, errUnconfirmed):
		// A read may run any number of times. It includes units that only
		// prepare or describe. The ledger lets a request with an identifier run
		// once.
		return u.Kind == statement.Read || x.request.Idempotent || u.RequestID != ""
	}
	return false
}

func (x *Exchange) refusal(u *statement.Unit, err error) error {
	var r *statement.Refusal
	if errors.As(err, &r) {
		return r
	}
	x.owner.stats.unknown.Inc(1)
	reason := "the outcome of the request is unknown: " + err.Error()
	if u.Kind == statement.Read {
		return &statement.Refusal{Code: postgres.CodeConnectionFailure, Reason: "the read failed: " + err.Error()}
	}
	return &statement.Refusal{Code: postgres.CodeTransactionUnknown, Reason: reason}
}

// acquireConn acquires a connection for the unit.
func (x *Exchange) acquireConn(ctx context.Context, u *statement.Unit) error {
	kind := u.Kind
	if u.RequestID != "" {
		kind = statement.Write
	}
	x.owner.recordRequest()
	x.requirement = x.owner.requirement(x.request)
	if _, latest := x.request.Class.(freshness.Latest); latest || x.owner.fixed.routesToPrimary(x.owner.options.Unsafe.FixedPrimary, x.request, kind) {
		kind = statement.Write
	}
	w := &connRequest{
		request:     x.request,
		kind:        kind,
		requirement: x.requirement,
		primaryAt:   time.Now().Add(x.request.ReplicaWait),
		deadline:    u.Deadline,
		ready:       make(chan *conn, 1),
	}
	c, err := x.owner.pool.acquire(ctx, w, u.Deadline)
	if err != nil {
		x.owner.stats.refused.Inc(1)
		return err
	}
	x.mu.Lock()
	x.conn = c
	x.mu.Unlock()
	x.term, x.replica, x.wrote = c.term, c.replica, false
	x.countUnit(u)
	return nil
}

func (x *Exchange) countUnit(u *statement.Unit) {
	switch {
	case x.replica:
		x.owner.stats.replicaReads.Inc(1)
	case u.Kind == statement.Read:
		x.owner.stats.primaryReads.Inc(1)
	default:
		x.owner.stats.writes.Inc(1)
	}
}

// requirement returns what the request's reads ask of a member.
func (o *Owner) requirement(r *statement.Request) freshness.Requirement {
	n := freshness.Requirement{Class: r.Class}
	if r.NeverWrote || o.options.Unsafe.IgnoreMarks || o.options.Unsafe.FixedPrimary > 0 {
		return n
	}
	n.Position = o.marks.Get(r.Session)
	if floor := o.view().floor; floor.Compare(n.Position) > 0 {
		n.Position = floor
	}
	return n
}

// releaseConn gives the connection back, or closes it if it is not clean.
func (x *Exchange) releaseConn(clean bool) {
	x.mu.Lock()
	c := x.conn
	x.conn = nil
	x.mu.Unlock()
	if c != nil {
		if x.pinned {
			c.dirty = true
		}
		x.owner.pool.release(c, clean)
	}
}

// Close ends the exchange. A connection in the middle of a transaction is
// closed, which rolls it back.
func (x *Exchange) Close() {
	x.releaseConn(false)
}

// Cancel asks the member to cancel the running statement. The connection is not
// used again: the member acts on the request at some later time, and would
// cancel the statement of another caller.
func (x *Exchange) Cancel(ctx context.Context) error {
	x.mu.Lock()
	c := x.conn
	x.mu.Unlock()
	if c == nil {
		return nil
	}
	x.owner.pool.markUnusable(c)
	return x.owner.pool.dialer.cancel(ctx, x.owner.options.Group.Members[c.member], c)
}
