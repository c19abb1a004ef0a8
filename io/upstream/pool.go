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
	// queueLimit bounds the requests that wait for a connection of one group.
	queueLimit = 4096
	// openTimeout bounds the opening of a pooled connection.
	openTimeout = 2 * time.Second
	// openRetryDelay is the pause after a failed attempt to open a connection.
	openRetryDelay = 50 * time.Millisecond
	// maxOpening is how many connections to one member are opened at once, so
	// that the members are not flooded after an availability zone was lost.
	maxOpening = 4
)

// connRequest is a request for a connection.
type connRequest struct {
	request     *statement.Request
	kind        statement.Kind
	requirement freshness.Requirement
	// primaryAt is when a read may go to the primary.
	primaryAt time.Time
	deadline  time.Time
	// late is set, before ready gets nil, when the deadline came too near.
	late bool
	// member is what an early binding has chosen, or group.NoMember.
	member int
	ready  chan *conn // buffered, gets at most one
}

// pool holds the connections of a group. Requests wait in one queue and are
// bound to a member when a connection is free, not when they arrive.
type pool struct {
	owner  *Owner
	dialer dialer
	// limit is the most connections to all members together. Of the group's
	// budget it leaves two control connections a member: ours, and those of an
	// owner that takes over.
	limit      int
	primaryCap int
	replicaCap int

	mu        sync.Mutex
	members   []memberPool
	queue     *admission.Queue[*connRequest]
	holdTimes admission.WaitEstimator
	primary   int // that the connections were opened for
	// maxOpen is how many connections may be open now. It is below limit while an
	// earlier owner holds some, and zero until those were counted.
	maxOpen int
	closed  bool
	// staleReads is how many reads wait for a replica to become fresh enough.
	staleReads int
}

// memberPool is the part of a pool that belongs to one member.
type memberPool struct {
	idle    []*conn
	busy    map[*conn]struct{}
	opening int
	// boundReads counts the reads that an early binding gave to the member and that
	// have not ended.
	boundReads int
	// notBefore delays the next attempt to open a connection.
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

// acquire returns a connection to a member that may serve the request.
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
		// A connection, or the end of the pool, came at the last moment.
		return p.assigned(w, <-w.ready)
	}
	if ctx.Err() != nil {
		return nil, statement.NewNotRunRefusal(postgres.CodeQueryCanceled, "canceled while waiting for a connection")
	}
	return nil, statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, p.unavailableReason(w))
}

// assigned returns the connection that w got, or the reason why it got none.
func (p *pool) assigned(w *connRequest, c *conn) (*conn, error) {
	switch {
	case c != nil:
		return c, nil
	case w.late:
		return nil, p.overloadRefusal(minRetryAfter)
	}
	return nil, handoverRefusal()
}

// dispatch serves the queue. What still waits may wait for a replica's progress,
// so the members are asked again at once.
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

// followPrimary closes the connections that a change of primary has made useless.
// Those to the old primary are closed even while they are in use: their
// transactions can no longer be confirmed.
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

// closeReplica closes the connections to a replica that does not answer probes. Its
// reads run anew on another member instead of waiting for their deadline. A
// primary's are kept: its writes cannot be repeated, and it may come back.
func (p *pool) closeReplica(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.owner.view(); v.primary != group.NoMember && i != v.primary {
		p.closeMember(i)
	}
}

func (p *pool) closeMember(i int) {
	p.closeIdle(i)
	for c := range p.members[i].busy {
		c.unusable = true
		c.close()
	}
}

// assignQueued binds waiting requests to free connections and opens connections for
// the rest. p.mu is held.
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

// release returns a connection after its exchange. A connection that is not
// clean is closed.
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

// markUnusable keeps a connection from being used again.
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

// close refuses new requests and those that wait, and closes what is idle.
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

// drain waits for open exchanges until ctx ends and closes all connections.
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

const drainPollInterval = 5 * time.Millisecond

func (p *pool) busyConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i := range p.members {
		n += len(p.members[i].busy)
	}
	return n
}
