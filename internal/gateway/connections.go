package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/pool"
)

const (
	// dialTimeout bounds the opening of a connection. It takes 27 ms at the slowest site while its
	// members are idle.
	dialTimeout = 700 * time.Millisecond
	// waiterRecheckInterval is how often waiting statements are checked again, since members may
	// become eligible by the passing of time alone.
	waiterRecheckInterval = 15 * time.Millisecond
	// reservedControlConns is how many of a member's connections are reserved for control commands.
	reservedControlConns = 2
)

// pooledConn is a connection in a group's pool.
type pooledConn struct {
	conn     Conn
	poolConn *pool.Conn
	member   *member
	// state is what the connection holds of the sessions that use it.
	state connState
}

var (
	// errNoConnection means that no connection became available in time.
	errNoConnection = errors.New("no connection became available in time")
	// errReroute means that this host can't reach the primary but another host may.
	errReroute = errors.New("the primary is unreachable from this host")
	// errOverloaded means that more statements wait than are served in time.
	errOverloaded = errors.New("more statements wait than can be served in time")
)

// acquireConn returns a connection for the request. It waits for one until the deadline of the request or
// until ctx ends, and then returns errNoConnection. It returns errOverloaded as soon as no connection can
// be expected in time, and errReroute if the statement is to be forwarded to a host that may reach the
// primary.
func (g *Group) acquireConn(ctx context.Context, r pool.ConnRequest) (*pooledConn, error) {
	g.mu.Lock()
	if r.Forwardable && g.primaryUnreachableLocked() {
		g.mu.Unlock()
		g.ensurePrimary()
		return nil, errReroute
	}
	if c := g.pool.Take(r, g.now()); c != nil {
		p := g.conns[c]
		g.applyPoolActions()
		g.mu.Unlock()
		return p, nil
	}
	w, assigned := g.enqueue(r)
	g.mu.Unlock()
	if r.PrimaryOnly {
		g.ensurePrimary()
	}
	timer := time.NewTimer(r.Deadline.Sub(g.now()))
	defer timer.Stop()
	defer g.usage.Done(g.usage.Wait(r.Account))
	queued := g.now()
	defer func() { g.metrics.ConnWait(g.name, g.now().Sub(queued)) }()
	select {
	case a := <-assigned:
		return a.conn, a.err
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Dequeue(w, g.now())
	delete(g.waiting, w)
	select {
	case a := <-assigned: // assigned just before the wait was canceled
		return a.conn, a.err
	default:
	}
	g.loads.Left(loadKind(r), false)
	return nil, errNoConnection
}

// assignment is what a waiting statement gets: a connection, or errReroute or errOverloaded.
type assignment struct {
	conn *pooledConn
	err  error
}

// assign ends the wait of a statement. g.mu must be held.
func (g *Group) assign(w *pool.Waiter, a assignment) {
	g.waiting[w] <- a
	delete(g.waiting, w)
	g.loads.Left(loadKind(w.Request), a.conn != nil)
}

// enqueue adds a request to the waiting ones. g.mu must be held.
func (g *Group) enqueue(r pool.ConnRequest) (*pool.Waiter, <-chan assignment) {
	assigned := make(chan assignment, 1)
	w := g.pool.Enqueue(r, g.now())
	g.waiting[w] = assigned
	g.loads.Enqueued(loadKind(r))
	g.lastQueuedAt = g.now()
	g.waitCount++
	g.dispatch()
	if !g.recheckScheduled {
		g.recheckScheduled = true
		time.AfterFunc(waiterRecheckInterval, g.recheckWaiters)
	}
	return w, assigned
}

// recheckWaiters dispatches connections and schedules itself again while statements wait.
func (g *Group) recheckWaiters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch()
	g.recheckScheduled = g.pool.Waiting() > 0
	if g.recheckScheduled {
		time.AfterFunc(waiterRecheckInterval, g.recheckWaiters)
	}
}

// dispatch assigns idle connections to waiting statements and opens more if it may. g.mu must be held.
func (g *Group) dispatch() {
	g.pool.Dispatch(g.now(), g.primaryUnreachableLocked())
	g.applyPoolActions()
	if idle := g.pool.TakeIdleSlotTime(); idle > 0 {
		g.metrics.IdleSlots(g.name, idle)
	}
}

// applyPoolActions carries out the actions that the pool has decided on. g.mu must be held.
func (g *Group) applyPoolActions() {
	for _, action := range g.pool.DrainActions() {
		switch action := action.(type) {
		case pool.Assign:
			a := assignment{conn: g.conns[action.Conn]}
			if action.Conn == nil {
				a.err = errReroute
			}
			g.assign(action.Waiter, a)
		case pool.Refuse:
			g.assign(action.Waiter, assignment{err: errOverloaded})
			g.noteRefusedEarly(action.Waiter.Request)
		case pool.Open:
			m := g.members[action.Member]
			go g.dial(m, m.Member, action.Account)
		case pool.Close:
			g.closeAsync(g.conns[action.Conn])
			delete(g.conns, action.Conn)
		}
	}
}

// closeAsync closes a connection in the background, since closing may block and the caller holds g.mu.
func (g *Group) closeAsync(p *pooledConn) {
	go func() {
		if err := p.conn.Close(); err != nil {
			g.log("member_close", "member", p.member.ID, "err", err)
		}
	}()
}

// dial opens a connection to the member and adds it to the pool.
func (g *Group) dial(m *member, target Member, account string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := g.dialer.Dial(ctx, target, account)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addConn(m, account, conn, err)
	g.dispatch()
}

// addConn adds a new connection to the pool, or records why opening it failed. It returns nil if there
// is no connection or the pool does not accept it. g.mu must be held.
func (g *Group) addConn(m *member, account string, conn Conn, err error) *pooledConn {
	if err != nil {
		g.dialFailed(m, account, err)
		return nil
	}
	p := &pooledConn{conn: conn, member: m}
	p.poolConn = g.pool.Opened(m.poolMember, account, g.now())
	if p.poolConn == nil {
		g.closeAsync(p)
		return nil
	}
	g.conns[p.poolConn] = p
	m.silentSince, m.reached = time.Time{}, true
	return p
}

// dialFailed records that a connection to the member could not be opened. g.mu must be held.
func (g *Group) dialFailed(m *member, account string, err error) {
	now := g.now()
	var failure *Failure
	switch {
	case !errors.As(err, &failure):
		g.pool.OpenFailed(m.poolMember, account, false, now)
		g.markSuspect(m, now, err)
	case failure.Code == Misrouted:
		g.log("member_replaced", "member", m.ID, "err", err)
		g.pool.OpenAbandoned(m.poolMember, account)
		g.dropMember(m)
	default:
		g.pool.OpenFailed(m.poolMember, account, true, now)
	}
}

// dropMember drops a member that has left the group or whose address belongs to another member. g.mu
// must be held.
func (g *Group) dropMember(m *member) {
	m.dropped = true
	g.pool.Remove(m.poolMember)
	g.applyPoolActions()
}

// release returns a connection to the pool after a statement or transaction.
func (g *Group) release(p *pooledConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Release(p.poolConn, g.now())
	g.dispatch()
}

// releaseAfter returns a connection to the pool after the reply, or closes it if that leaves a transaction open.
func (g *Group) releaseAfter(p *pooledConn, r Reply) {
	if r.State != Idle {
		g.discard(p, nil)
		return
	}
	g.release(p)
}

// markIdleInTransaction records that the connection belongs to a transaction that is between two
// statements.
func (g *Group) markIdleInTransaction(p *pooledConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.MarkIdleInTransaction(p.poolConn, g.now())
	g.dispatch()
}

// noteOverload records that the member refused a statement because its queue is full.
func (g *Group) noteOverload(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.poolMember.RecordOverload(g.now(), g.hostCount)
}

// noteSuccess records that the member executed a statement.
func (g *Group) noteSuccess(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.poolMember.RecordSuccess()
}

// discard closes a connection instead of returning it to the pool. err is the failure of the connection, or nil if it did
// not fail.
func (g *Group) discard(p *pooledConn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Discard(p.poolConn, g.now())
	if err != nil && !isUnproven(err) {
		g.markSuspect(p.member, g.now(), err)
	}
	g.dispatch()
}

// prewarm opens a connection to the primary if there is none, so that it is open by the time that a
// primary check has passed.
func (g *Group) prewarm(account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[g.primaryID]; m != nil {
		g.pool.Prewarm(m.poolMember, account, g.now())
		g.applyPoolActions()
	}
}

// maintain closes connections that have been unused for long, drops expired members, and retries to
// adopt the inherited floor.
func (g *Group) maintain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.dropExpiredMembers(now)
	g.tryAdoptFloor()
	g.pool.Trim(now, g.hostCount, g.warmConns)
	g.applyPoolActions()
}

// warmConns returns how many unused connections to a member are kept open. A host that serves a group
// for many others soon needs them: at 64 hosts, 13 % of the statements in the first two seconds of a
// day were late without them, and 3 % with them. If every host serves its own callers, other hosts
// have more use for the connections.
func (g *Group) warmConns(m *pool.Member) int {
	if !g.hasDedicatedServers() {
		return 0
	}
	return min(g.share(), g.members[m.ID()].Slots)
}

// markSuspect records that the member did not answer. g.mu must be held.
func (g *Group) markSuspect(m *member, now time.Time, err error) {
	if now.After(m.suspectUntil) {
		g.log("member_suspect", "member", m.ID, "leads", m.ID == g.primaryID, "err", err)
	}
	m.suspectUntil = now.Add(suspectPeriod)
	if m.silentSince.IsZero() {
		m.silentSince = now
	}
	if m.ID == g.primaryID {
		go g.ensurePrimary()
		g.wakeCoordinator()
		g.signalLease()
	}
}

// suspectPeriod is for how long a member that failed to answer is used only if no other member can
// serve.
const suspectPeriod = 500 * time.Millisecond
