package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/pool"
)

const (
	// dialTimeout bounds the opening of a connection. The slowest site takes
	// 27 ms when its members are idle.
	dialTimeout = 700 * time.Millisecond
	// waiterRecheckInterval is how often waiting statements are looked at again, for members
	// that become eligible by time alone.
	waiterRecheckInterval = 15 * time.Millisecond
	// reservedControlConns is how many of a member's connections are kept for orders.
	reservedControlConns = 2
)

// pooledConn is a connection of a group's pool.
type pooledConn struct {
	conn     Conn
	poolConn *pool.Conn
	member   *member
	// values and shapes are what the connection holds beyond a reset.
	values   map[string]string
	prepared map[PreparedStatement]string
}

var (
	// errNoConnection means that no connection came free in time.
	errNoConnection = errors.New("no connection came free in time")
	// errReroute means that another host may reach the primary, which this one can't.
	errReroute = errors.New("the primary is out of reach")
)

// acquire returns a connection that fits, waiting for one until the deadline.
func (g *Group) acquire(ctx context.Context, n pool.Request) (*pooledConn, error) {
	g.mu.Lock()
	if n.Forwardable && g.primaryUnreachableLocked() {
		g.mu.Unlock()
		g.ensurePrimary()
		return nil, errReroute
	}
	if c := g.pool.Take(n, g.now()); c != nil {
		p := g.conns[c]
		g.applyPoolActions()
		g.mu.Unlock()
		return p, nil
	}
	w, got := g.enqueue(n)
	g.mu.Unlock()
	if n.PrimaryOnly {
		g.ensurePrimary()
	}
	timer := time.NewTimer(n.Deadline.Sub(g.now()))
	defer timer.Stop()
	queued := g.now()
	defer func() { g.metrics.connWait(g.name, g.now().Sub(queued)) }()
	select {
	case p := <-got:
		return connOrReroute(p)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.CancelWait(w)
	delete(g.waiting, w)
	select {
	case p := <-got: // given at the last moment
		return connOrReroute(p)
	default:
	}
	return nil, errNoConnection
}

// connOrReroute returns what a statement was given: a connection, or nil when it is to be sent on.
func connOrReroute(p *pooledConn) (*pooledConn, error) {
	if p == nil {
		return nil, errReroute
	}
	return p, nil
}

// enqueue lets a statement wait. The channel takes a connection, or nil when it is to be sent on.
func (g *Group) enqueue(n pool.Request) (*pool.Waiter, <-chan *pooledConn) {
	got := make(chan *pooledConn, 1)
	w := g.pool.Enqueue(n)
	g.waiting[w] = got
	g.lastQueuedAt = g.now()
	g.waitCount++
	g.dispatch()
	if !g.recheckScheduled {
		g.recheckScheduled = true
		time.AfterFunc(waiterRecheckInterval, g.recheckWaiters)
	}
	return w, got
}

// recheckWaiters looks at the waiting statements again while there are any.
func (g *Group) recheckWaiters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch()
	g.recheckScheduled = g.pool.Waiting() > 0
	if g.recheckScheduled {
		time.AfterFunc(waiterRecheckInterval, g.recheckWaiters)
	}
}

// dispatch gives idle connections to statements that wait, and opens more where it may.
func (g *Group) dispatch() {
	g.pool.Dispatch(g.now(), g.primaryUnreachableLocked())
	g.applyPoolActions()
}

// applyPoolActions does what the pool has decided.
func (g *Group) applyPoolActions() {
	for _, o := range g.pool.DrainActions() {
		switch o := o.(type) {
		case pool.Assign:
			g.waiting[o.Waiter] <- g.conns[o.Conn]
			delete(g.waiting, o.Waiter)
		case pool.Open:
			m := g.members[o.Member]
			go g.dial(m, m.Member, o.Account)
		case pool.Close:
			g.closeAsync(g.conns[o.Conn])
			delete(g.conns, o.Conn)
		}
	}
}

// closeAsync closes a connection without holding the lock up.
func (g *Group) closeAsync(p *pooledConn) {
	go func() {
		if err := p.conn.Close(); err != nil {
			g.log("member_close", "member", p.member.ID, "err", err)
		}
	}()
}

// dial opens a connection to the member.
func (g *Group) dial(m *member, target Member, account string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := g.dialer.Dial(ctx, target, account)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addConn(m, account, conn, err)
	g.dispatch()
}

// addConn takes over a connection, or the reason why there is none. It returns nil without one.
func (g *Group) addConn(m *member, account string, conn Conn, err error) *pooledConn {
	if err != nil {
		g.dialFailed(m, account, err)
		return nil
	}
	p := &pooledConn{conn: conn, member: m, values: map[string]string{}, prepared: map[PreparedStatement]string{}}
	p.poolConn = g.pool.Opened(m.poolMember, account, g.now())
	if p.poolConn == nil {
		g.closeAsync(p)
		return nil
	}
	g.conns[p.poolConn] = p
	m.silentSince = time.Time{}
	return p
}

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

// dropMember gives up a member whose address belongs to another one, or that is no longer there.
func (g *Group) dropMember(m *member) {
	m.dropped = true
	g.pool.Remove(m.poolMember)
	g.applyPoolActions()
}

// release gives a connection back after a statement or a transaction.
func (g *Group) release(p *pooledConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Release(p.poolConn, g.now())
	g.dispatch()
}

// markIdleInTransaction records that the connection is held by a transaction between statements.
func (g *Group) markIdleInTransaction(p *pooledConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.MarkIdleInTransaction(p.poolConn)
	g.dispatch()
}

// noteOverload records that the member had no room for a statement.
func (g *Group) noteOverload(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.poolMember.RecordOverload(g.now(), g.hostCount)
}

// noteSuccess records that the member ran a statement.
func (g *Group) noteSuccess(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.poolMember.RecordSuccess()
}

// discard closes a connection in place of giving it back. err is what went wrong
// with the member, or nil.
func (g *Group) discard(p *pooledConn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Discard(p.poolConn)
	if err != nil {
		g.markSuspect(p.member, g.now(), err)
	}
	g.dispatch()
}

// prewarm opens a connection to the primary if there is none, while it is being proven to
// lead.
func (g *Group) prewarm(account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[g.primaryID]; m != nil {
		g.pool.Prewarm(m.poolMember, account, g.now())
		g.applyPoolActions()
	}
}

// trimConns closes connections that were not used for long.
func (g *Group) trimConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.dropExpiredMembers(now)
	g.tryAdoptFloor()
	g.pool.Trim(now, g.hostCount, g.warmConns)
	g.applyPoolActions()
}

// warmConns is how many connections to a member the host keeps open though nobody uses them.
// A host that serves for many others needs them soon: without them, 13 in 100 statements of
// the first two seconds of a day were late at 64 hosts, and 3 with them. Where every
// host serves for itself, others need the connections more.
func (g *Group) warmConns(m *pool.Member) int {
	if !g.hasDedicatedServers() {
		return 0
	}
	return min(g.share(), g.members[m.ID()].Slots)
}

// markSuspect records that the member did not answer.
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

// suspectPeriod is how long a member that failed to answer is used only when
// no other one can serve.
const suspectPeriod = 500 * time.Millisecond
