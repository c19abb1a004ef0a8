package gateway

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// need is what a statement asks of a connection.
type need struct {
	// primary is true when only the primary will do, and sendOn when the statement may
	// go by way of another host if this one can't reach it.
	primary, sendOn bool
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
	// got takes a connection, or nil when the statement is to be sent on.
	got chan *pooled
}

var (
	// errNoRoom means that no connection came free in time.
	errNoRoom = errors.New("no connection came free in time")
	// errSendOn means that another host may reach the primary, which this one can't.
	errSendOn = errors.New("the primary is out of reach")
)

// acquire returns a connection that fits, waiting for one until the deadline.
func (g *Group) acquire(ctx context.Context, n need) (*pooled, error) {
	g.mu.Lock()
	if n.sendOn && g.primaryLost() {
		g.mu.Unlock()
		g.wantLeader()
		return nil, errSendOn
	}
	if p := g.pick(n); p != nil {
		g.openBetter(n, p.member)
		g.mu.Unlock()
		return p, nil
	}
	w := &waiter{need: n, got: make(chan *pooled, 1)}
	g.queuedAt = g.now()
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
		return given(p)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dequeue(w)
	select {
	case p := <-w.got: // given at the last moment
		return given(p)
	default:
	}
	return nil, errNoRoom
}

// given returns what a waiter was given: a connection, or nil when it is to be sent on.
func given(p *pooled) (*pooled, error) {
	if p == nil {
		return nil, errSendOn
	}
	return p, nil
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
	lost := g.primaryLost()
	for _, w := range g.servingOrder() {
		if lost && w.need.sendOn {
			w.got <- nil
			g.dequeue(w)
			continue
		}
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
