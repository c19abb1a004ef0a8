package upstream

import (
	"context"
	"sync"
	"time"

	"pearlatch/core/admission"
	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

const (
	// queueLimit is the maximum number of requests that wait for a connection of one
	// group.
	queueLimit = 4096
	// openTimeout is the timeout of opening a pooled connection.
	openTimeout = 2 * time.Second
	// openRetryDelay is the delay after a failed attempt to open a connection.
	openRetryDelay = 50 * time.Millisecond
	// maxOpening is the maximum number of connections to one member that are being
	// opened at the same time, so that the members are not flooded after the loss of
	// an availability zone.
	maxOpening = 4
)

// connRequest is a request for a connection.
type connRequest struct {
	request     *statement.Request
	kind        statement.Kind
	requirement freshness.Requirement
	// primaryAt is the time from which a read may be sent to the primary.
	primaryAt time.Time
	deadline  time.Time
	// late is set, before nil is sent to ready, when too little time is left until
	// the deadline.
	late bool
	// member is the member chosen by an early binding, or group.NoMember.
	member int
	ready  chan *conn // buffered, receives at most one value
}

// pool holds the connections to a group's members. Requests wait in one queue. With
// the binding Late they are bound to a member when a connection is free, not when
// they arrive. Methods are safe for concurrent use unless they require p.mu.
type pool struct {
	owner  *Owner
	dialer dialer
	// limit is the maximum number of pooled connections to all members together. It
	// leaves room in the group's connection budget for two control connections per
	// member: this owner's, and that of an owner that takes over.
	limit      int
	primaryCap int
	replicaCap int

	mu        sync.Mutex
	members   []memberPool
	queue     *admission.Queue[*connRequest]
	holdTimes admission.WaitEstimator
	primary   int // the primary that the connections were opened for
	// maxOpen is the number of connections that may be open now. It is below limit
	// while another owner holds some, and zero until those have been counted.
	maxOpen int
	closed  bool
	// staleReads is the number of reads that wait for a replica to become fresh
	// enough.
	staleReads int
}

// memberPool is the part of a pool that belongs to one member.
type memberPool struct {
	idle    []*conn
	busy    map[*conn]struct{}
	opening int
	// boundReads is the number of reads bound early to the member that have not
	// ended.
	boundReads int
	// notBefore is the earliest time of the next attempt to open a connection.
	notBefore time.Time
}

func (m *memberPool) open() int { return len(m.idle) + len(m.busy) + m.opening }

func newPool(o *Owner) *pool {
	g := o.options.Group
	n := len(g.Members)
	limit := max(n, g.Connections-2*n-1)
	p := &pool{
		owner:   o,
		dialer:  newDialer(o.options),
		limit:   limit,
		members: make([]memberPool, n),
		queue:   admission.NewQueue[*connRequest](queueLimit),
		primary: group.NoMember,
	}
	p.primaryCap = max(1, limit/2)
	p.replicaCap = max(1, (limit-p.primaryCap)/max(1, n-1))
	for i := range p.members {
		p.members[i].busy = map[*conn]struct{}{}
	}
	return p
}

// acquire returns a connection to a member that can serve the request. It waits for
// one until ctx ends or the deadline passes. The error is a *statement.Refusal.
func (p *pool) acquire(ctx context.Context, w *connRequest, deadline time.Time) (*conn, error) {
	p.mu.Lock()
	if refusal := p.admissionRefusal(w, deadline); refusal != nil {
		p.mu.Unlock()
		return nil, refusal
	}
	p.bindEarly(w)
	if c := p.acquireDirect(w); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	waiter, ok := p.queue.Push(w, w.request.Priority, time.Now())
	if !ok {
		p.mu.Unlock()
		return nil, p.overloadRefusal(p.holdTimes.MeanHold())
	}
	p.assignQueued()
	p.mu.Unlock()
	select {
	case c := <-w.ready:
		return p.assigned(w, c)
	default:
	}
	return p.wait(ctx, w, waiter, deadline)
}

// wait waits for a connection for w, which is in the queue.
func (p *pool) wait(ctx context.Context, w *connRequest, waiter *admission.Waiter[*connRequest], deadline time.Time) (*conn, error) {
	if w.kind == statement.Read {
		defer p.probeWhileStale(w)()
		t := time.AfterFunc(time.Until(w.primaryAt), p.dispatch)
		defer t.Stop()
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case c := <-w.ready:
		return p.assigned(w, c)
	case <-ctx.Done():
	case <-t.C:
	}
	p.mu.Lock()
	queued := p.queue.Remove(waiter)
	p.mu.Unlock()
	if !queued {
		// A connection was assigned, or the request refused, at the last moment.
		return p.assigned(w, <-w.ready)
	}
	if ctx.Err() != nil {
		return nil, statement.NewNotRunRefusal(postgres.CodeQueryCanceled, "canceled while waiting for a connection")
	}
	return nil, statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, p.unavailableReason(w))
}

// assigned returns the connection c received from w.ready, or the refusal if c is
// nil.
func (p *pool) assigned(w *connRequest, c *conn) (*conn, error) {
	switch {
	case c != nil:
		return c, nil
	case w.late:
		return nil, p.overloadRefusal(minRetryAfter)
	}
	return nil, handoverRefusal()
}

// dispatch adapts the pool to the current view, assigns connections to waiting
// requests and prewarms connections. If reads still wait for a fresh replica, the
// members are probed again at once.
func (p *pool) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followPrimary()
	p.assignQueued()
	p.prewarm()
	if p.staleReads > 0 {
		p.owner.probeAll()
	}
}

// followPrimary closes the connections to the old primary after a change of primary,
// also those in use: their transactions can no longer be confirmed. p.mu must be
// held.
func (p *pool) followPrimary() {
	v := p.owner.view()
	if v.primary == p.primary || v.primary == group.NoMember {
		return
	}
	if p.primary != group.NoMember {
		p.closeMember(p.primary)
	}
	p.primary = v.primary
}

// closeReplica closes the connections to a replica that does not answer probes, so
// that its reads are retried on another member instead of waiting for their deadline.
// Connections to the primary are kept: writes cannot be retried, and the primary may
// recover.
func (p *pool) closeReplica(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.owner.view(); v.primary != group.NoMember && i != v.primary {
		p.closeMember(i)
	}
}

// closeMember closes all connections to member i, also those in use. p.mu must be
// held.
func (p *pool) closeMember(i int) {
	p.closeIdle(i)
	for c := range p.members[i].busy {
		c.unusable = true
		c.close()
	}
}

// assignQueued assigns idle connections to waiting requests and begins to open
// connections for the rest. p.mu must be held.
func (p *pool) assignQueued() {
	if p.closed {
		return
	}
	v, now := p.owner.view(), time.Now()
	if p.queue.Len() > 0 {
		p.refuseLate(now)
	}
	for {
		var got *conn
		w := p.queue.Pick(func(w *connRequest) bool {
			got = p.findConn(v, w, now)
			return got != nil
		})
		if w == nil {
			return
		}
		got.markAcquired(v, now)
		w.Value.ready <- got
	}
}

// release returns a connection to the pool after its exchange. It closes a connection
// that is not clean or that is unusable.
func (p *pool) release(c *conn, clean bool) {
	if clean && c.dirty {
		clean = c.reset() == nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &p.members[c.member]
	delete(m.busy, c)
	if p.owner.options.Binding != Late && m.boundReads > 0 {
		m.boundReads--
	}
	p.holdTimes.Observe(time.Since(c.acquiredAt))
	if !clean || c.unusable || p.closed {
		c.close()
	} else {
		m.idle = append(m.idle, c)
	}
	p.assignQueued()
}

// markUnusable prevents a connection from being used again after its exchange.
func (p *pool) markUnusable(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.unusable = true
}

// isIdle reports whether no exchange holds a connection to the member.
func (p *pool) isIdle(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members[i].busy) == 0
}

// close refuses new and waiting requests and closes idle connections. Exchanges in
// progress continue.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for {
		w := p.queue.Pick(func(*connRequest) bool { return true })
		if w == nil {
			break
		}
		w.Value.ready <- nil
	}
	for i := range p.members {
		p.closeIdle(i)
	}
}

func (p *pool) closeIdle(i int) {
	for _, c := range p.members[i].idle {
		c.close()
	}
	p.members[i].idle = nil
}

// drain waits until no connection is in use or ctx ends, and closes all connections.
func (p *pool) drain(ctx context.Context) {
	for p.busyConns() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.members {
		p.closeMember(i)
	}
}

// drainPollInterval is the interval at which drain checks for connections in use.
const drainPollInterval = 5 * time.Millisecond

// busyConns returns the number of connections in use.
func (p *pool) busyConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i := range p.members {
		n += len(p.members[i].busy)
	}
	return n
}
