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

// Sink receives the bytes of an answer as they arrive. It must not retain the
// slice.
type Sink = func([]byte) error

// Exchange runs the units of one caller, from the first statement of a transaction
// to its end, on one connection. All methods except Cancel must be called from one
// goroutine.
type Exchange struct {
	owner   *Owner
	request *statement.Request

	// mu is locked before pool.mu.
	mu   sync.Mutex
	conn *conn

	term        group.Term // term under which conn was acquired
	replica     bool       // conn is a connection to a replica
	requirement freshness.Requirement
	wrote       bool // a unit of the open transaction may have written
	open        bool // the exchange continues after its last unit, as in a transaction
	pinned      bool // a unit left session state, so the exchange continues after a transaction
	delivered   bool // a part of the current answer was passed to the sink
	buf         []byte
}

// Begin returns a new exchange for the request. It acquires no connection before
// its first unit.
func (o *Owner) Begin(r *statement.Request) *Exchange {
	return &Exchange{owner: o, request: r}
}

// Do runs a unit and passes its answer to sink. It retries a first unit that is
// safe to run again. If the answer cannot be passed on, the error is a
// *statement.Refusal and the exchange is over.
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

// errReadOnly means that a replica or a read-only transaction refused a unit because
// it writes. The unit had no effect.
var errReadOnly = errors.New("the replica refused a write")

// errConnFailed means that the connection failed before the answer was complete.
var errConnFailed = errors.New("the connection failed")

// prepareRetry reports whether a failed first unit may be run again, and changes the
// unit to a write if it turned out to be one.
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
		// Reads, which include units that only prepare or describe, can be
		// repeated. The request ledger ensures that a request with an identifier
		// takes effect once.
		return u.Kind == statement.Read || x.request.Idempotent || u.RequestID != ""
	}
	return false
}

// refusal returns the refusal that reports err to the caller, and counts unknown
// outcomes.
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

// acquireConn acquires a connection that can serve the unit.
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

// countUnit counts the unit in the metrics by the member that serves it.
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

// requirement returns the freshness that the request's reads require of a member.
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

// releaseConn returns the connection, if any, to the pool. The pool closes it if it
// is not clean, that is, in the middle of an answer or a transaction.
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

// Cancel asks the member to cancel the running statement. It may be called from any
// goroutine. The connection is not used again: the member processes the cancel
// request at some later time, and could cancel another caller's statement.
func (x *Exchange) Cancel(ctx context.Context) error {
	x.mu.Lock()
	c := x.conn
	if c != nil {
		// Under x.mu, so that the connection is marked before it is released.
		x.owner.pool.markUnusable(c)
	}
	x.mu.Unlock()
	if c == nil {
		return nil
	}
	return x.cancelOn(ctx, c)
}

// cancelOn sends the member a cancel request for the connection, which must have been
// marked unusable.
func (x *Exchange) cancelOn(ctx context.Context, c *conn) error {
	return x.owner.pool.dialer.cancel(ctx, x.owner.options.Group.Members[c.member], c)
}
