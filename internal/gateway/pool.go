package gateway

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// Timing of a pool.
const (
	// lagRetry is how long a replica that lacked a position isn't asked for more
	// at least: a fraction of the replicas' usual lag of 60 ms.
	lagRetry = 25 * time.Millisecond
	// lagRetryShare is the part of a replica's lag for which it isn't asked for
	// more. A replica that is ten seconds behind would otherwise refuse most
	// statements first, each a round trip late.
	lagRetryShare = 8
	// lagRetryMax bounds that, since lag can end all at once.
	lagRetryMax = 400 * time.Millisecond
	// fullRetry is how long a member without a free connection is left alone: a
	// few statements' time.
	fullRetry = 60 * time.Millisecond
	// dialRetry is how long a member that could not be reached is left alone.
	dialRetry = 200 * time.Millisecond
	// dialTimeout bounds the opening of a connection. The slowest site takes
	// 27 ms when its members are idle.
	dialTimeout = 700 * time.Millisecond
	// suspectTime is how long a member that failed to answer is used only when
	// no other one can serve.
	suspectTime = 500 * time.Millisecond
	// extraIdle is how long a connection above the host's share is kept unused,
	// so that other hosts find room.
	extraIdle = 300 * time.Millisecond
	// shareIdle is how long a connection of the share is kept unused.
	shareIdle = 20 * time.Second
	// waitTick is how often waiting statements are looked at again, for members
	// that become eligible by time alone.
	waitTick = 15 * time.Millisecond
)

// need is what a statement asks of a connection.
type need struct {
	// primary is true when only the primary will do.
	primary bool
	// after is what a member must hold, or zero.
	after group.Position
	// avoid names a member that just failed the statement.
	avoid    string
	priority int
	arrived  time.Time
	deadline time.Time
}

// waiter is a statement that waits for a connection.
type waiter struct {
	need need
	got  chan *pooled
}

// errNoRoom means that no connection came free in time.
var errNoRoom = errors.New("no connection came free in time")

// acquire returns a connection that fits, waiting for one until the deadline.
func (g *Group) acquire(ctx context.Context, n need) (*pooled, error) {
	g.mu.Lock()
	if p := g.pick(n); p != nil {
		g.openBetter(n, p.member)
		g.mu.Unlock()
		return p, nil
	}
	w := &waiter{need: n, got: make(chan *pooled, 1)}
	g.enqueue(w)
	g.dispatch()
	g.mu.Unlock()
	if n.primary {
		g.wantLeader()
	}
	timer := time.NewTimer(n.deadline.Sub(g.now()))
	defer timer.Stop()
	queued := g.now()
	defer func() { g.meters.wait(g.name, g.now().Sub(queued)) }()
	select {
	case p := <-w.got:
		return p, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dequeue(w)
	select {
	case p := <-w.got: // given at the last moment
		return p, nil
	default:
	}
	return nil, errNoRoom
}

// enqueue keeps waiters in order of priority, then arrival.
func (g *Group) enqueue(w *waiter) {
	i := sort.Search(len(g.waiters), func(i int) bool {
		o := g.waiters[i].need
		if o.priority != w.need.priority {
			return o.priority > w.need.priority
		}
		return o.arrived.After(w.need.arrived)
	})
	g.waiters = append(g.waiters, nil)
	copy(g.waiters[i+1:], g.waiters[i:])
	g.waiters[i] = w
	if !g.ticking {
		g.ticking = true
		time.AfterFunc(waitTick, g.tick)
	}
}

func (g *Group) dequeue(w *waiter) {
	for i, o := range g.waiters {
		if o == w {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			return
		}
	}
}

// tick looks at the waiters again while there are any.
func (g *Group) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch()
	g.ticking = len(g.waiters) > 0
	if g.ticking {
		time.AfterFunc(waitTick, g.tick)
	}
}

// dispatch gives idle connections to waiters, and opens more where it may.
func (g *Group) dispatch() {
	for _, w := range g.servingOrder() {
		if p := g.pick(w.need); p != nil {
			w.got <- p
			g.dequeue(w)
		}
	}
	wanted := map[*member]int{}
	now := g.now()
	for _, m := range g.order {
		m.allowance.adjust(now, len(g.waiters) > 0 && len(m.idle) == 0 && m.open >= g.limit(m))
	}
	for _, w := range g.waiters {
		if m := g.toOpen(w.need, wanted); m != nil {
			wanted[m]++
		}
	}
	for m, n := range wanted {
		for m.dialing < min(n, maxDialing) && m.open+m.dialing < g.limit(m) {
			m.dialing++
			go g.dial(m, m.Member)
		}
	}
}

// standingQueue is how long the oldest statement may have waited until newer ones of
// its priority go first. While work comes faster than it is done, all would wait
// until most are too late; newest first, those that are served are served in time.
// The users' shortest latency objective is twice as long.
const standingQueue = 50 * time.Millisecond

// maxDialing bounds the connections that a host opens to a member at once. Opening takes
// one of the member's slots: when all hosts start again at once, statements would wait
// behind the opening of every host's share.
const maxDialing = 1

// servingOrder returns the waiters in the order in which they are served: by
// priority, then by arrival, or the other way round while a queue stands.
func (g *Group) servingOrder() []*waiter {
	out := slices.Clone(g.waiters)
	now := g.now()
	for from := 0; from < len(out); {
		to := from + 1
		for to < len(out) && out[to].need.priority == out[from].need.priority {
			to++
		}
		if now.Sub(out[from].need.arrived) > standingQueue {
			slices.Reverse(out[from:to])
		}
		from = to
	}
	return out
}

// eligible reports whether the member may serve the need now.
func (g *Group) eligible(m *member, n need, now time.Time) bool {
	if n.primary {
		return m.ID == g.leader && m.mayLead(now, g.drainBound)
	}
	return m.usable(now) && !m.lacking(n.after, now)
}

// pick takes the idle connection that serves the need soonest, or nil.
func (g *Group) pick(n need) *pooled {
	now := g.now()
	for {
		best := g.best(n, now, func(m *member) bool { return len(m.idle) > 0 && m.active < m.window.limit() })
		if best == nil {
			return nil
		}
		p := best.idle[len(best.idle)-1]
		best.idle = best.idle[:len(best.idle)-1]
		if p.conn.Alive() {
			best.running++
			best.active++
			p.active = true
			return p
		}
		best.open--
		g.closeLater(p)
	}
}

// toOpen returns the member on which another connection would serve the need
// soonest, or nil.
func (g *Group) toOpen(n need, wanted map[*member]int) *member {
	now := g.now()
	return g.best(n, now, func(m *member) bool {
		return m.open+max(m.dialing, wanted[m]) < g.limit(m) && !now.Before(m.fullUntil)
	})
}

// openBetter opens a connection to the member that would have been chosen if it had one
// free. Otherwise reads would stay with the first member that a connection was opened
// to, mostly the primary, until its connections run out.
func (g *Group) openBetter(n need, chosen *member) {
	now := g.now()
	better := g.best(n, now, func(m *member) bool {
		return m == chosen || m.dialing == 0 && len(m.idle) == 0 && m.open < g.share() && !now.Before(m.fullUntil)
	})
	if better != nil && better != chosen {
		better.dialing++
		go g.dial(better, better.Member)
	}
}

func (g *Group) best(n need, now time.Time, has func(*member) bool) *member {
	var best *member
	var bestCost time.Duration
	for _, m := range g.order {
		if !g.eligible(m, n, now) || !has(m) {
			continue
		}
		cost := m.cost(g.zone, m.ID == g.leader, now)
		if m.ID == n.avoid {
			cost += suspectTime
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// limit is how many connections this host may have to the member.
func (g *Group) limit(m *member) int {
	return g.share() + m.allowance.extra
}

// share is the host's equal share of a member's connections. Two are set apart for
// the holder of the group's duty, and one that follows it.
func (g *Group) share() int { return max(1, (g.connections-controlShare)/max(1, g.hosts)) }

// controlShare is how many of a member's connections are kept for orders.
const controlShare = 2

// dial opens a connection to the member.
func (g *Group) dial(m *member, target Member) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := g.dialer.Dial(ctx, target)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.dialing--
	if err != nil {
		g.dialFailed(m, err)
		g.dispatch()
		return
	}
	p := &pooled{conn: conn, member: m, values: map[string]string{}, shapes: map[Shape]string{}, used: g.now()}
	if m.gone {
		g.closeLater(p)
		return
	}
	m.open++
	m.idle = append(m.idle, p)
	g.dispatch()
}

func (g *Group) dialFailed(m *member, err error) {
	now := g.now()
	var failure *Failure
	if !errors.As(err, &failure) {
		m.fullUntil = now.Add(dialRetry)
		g.suspect(m, now, err)
		return
	}
	switch failure.Code {
	case Misrouted:
		g.log("member_replaced", "member", m.ID, "err", err)
		m.gone = true
	default:
		m.allowance.full(now)
		m.fullUntil = now.Add(fullRetry)
	}
}

// suspect records that the member did not answer.
func (g *Group) suspect(m *member, now time.Time, err error) {
	if now.After(m.suspectUntil) {
		g.log("member_suspect", "member", m.ID, "leads", m.ID == g.leader, "err", err)
	}
	m.suspectUntil = now.Add(suspectTime)
	if m.ID == g.leader {
		go g.wantLeader()
		select {
		case g.alarm <- struct{}{}:
		default:
		}
	}
}

// release gives a connection back after a statement or a transaction.
func (g *Group) release(p *pooled) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.member.running--
	p.settle()
	p.used = g.now()
	if !p.member.usable(p.used) && p.member.ID != g.leader || p.member.gone {
		p.member.open--
		g.closeLater(p)
		return
	}
	p.member.idle = append(p.member.idle, p)
	g.dispatch()
}

// settle records that no statement runs on the connection.
func (p *pooled) settle() {
	if p.active {
		p.active = false
		p.member.active--
	}
}

// rest records that the connection is held by a transaction between statements.
func (g *Group) rest(p *pooled) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.settle()
	g.dispatch()
}

// shed records that the member had no room for a statement.
func (g *Group) shed(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.window.shrink(g.now())
}

// grown records that the member ran a statement.
func (g *Group) grown(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.window.grow()
}

// discard closes a connection in place of giving it back. err is what went wrong
// with the member, or nil.
func (g *Group) discard(p *pooled, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.member.running--
	p.settle()
	p.member.open--
	g.closeLater(p)
	if err != nil {
		g.suspect(p.member, g.now(), err)
	}
	g.dispatch()
}

// closeLater closes a connection without holding the lock up.
func (g *Group) closeLater(p *pooled) {
	go func() {
		if err := p.conn.Close(); err != nil {
			g.log("member_close", "member", p.member.ID, "err", err)
		}
	}()
}

// trim closes connections that were not used for long.
func (g *Group) trim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, share := g.now(), g.share()
	g.forget(now)
	for _, m := range g.order {
		kept := m.idle[:0]
		for _, p := range m.idle {
			bound := shareIdle
			if m.open > share {
				bound = extraIdle
			}
			if (m.usable(now) || m.ID == g.leader && !m.gone) && now.Sub(p.used) < bound {
				kept = append(kept, p)
				continue
			}
			m.open--
			g.closeLater(p)
		}
		m.idle = kept
	}
}
