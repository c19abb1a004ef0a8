package gateway

import (
	"time"
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
	// extraIdle is how long a connection above the host's share is kept unused, so
	// that other hosts find room.
	extraIdle = 300 * time.Millisecond
	// shareIdle is how long a connection of the share is kept unused: a busier host may
	// then borrow it. At the users' sites of 7 and 8 hosts that serves more than it
	// costs to open connections again; crowdIdle holds for a crowd, whose hosts send a
	// member about one statement a second each.
	shareIdle = time.Second
	crowdIdle = 20 * time.Second
	// waitTick is how often waiting statements are looked at again, for members
	// that become eligible by time alone.
	waitTick = 15 * time.Millisecond
)

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
		best := g.best(n, now, func(m *member) bool { return len(m.idle) > 0 && m.window.open(m.active, now) })
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
	m.window.shrink(g.now(), g.hosts)
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
	now := g.now()
	g.forget(now)
	g.tryAdopt()
	for _, m := range g.order {
		warm, share := g.warm(m), g.shareOf(m)
		kept := m.idle[:0]
		for _, p := range m.idle {
			bound := shareIdle
			if g.hosts > crowd {
				bound = crowdIdle
			}
			if m.open > share {
				bound = extraIdle
			}
			fresh := now.Sub(p.used) < bound || m.open <= warm
			if (m.usable(now) || m.ID == g.leader && !m.gone) && fresh {
				kept = append(kept, p)
				continue
			}
			m.open--
			g.closeLater(p)
		}
		m.idle = kept
		g.warmUp(m, now)
	}
}

// warm is how many connections to a member the host keeps open though nobody uses them.
// A host that serves for many others needs them soon: without them, 13 in 100 statements of
// the first two seconds of a day were late at 64 hosts, and 3 with them. Where every
// host serves for itself, others need the connections more.
func (g *Group) warm(m *member) int {
	if !g.pooled() {
		return 0
	}
	return min(g.share(), m.Slots)
}

// warmUp opens a connection ahead of need while nobody waits: opening takes one of the
// member's slots for as long as two or three statements, which nobody misses then.
func (g *Group) warmUp(m *member, now time.Time) {
	if len(g.waiters) > 0 || m.dialing > 0 || m.open >= g.warm(m) || !m.usable(now) || now.Before(m.fullUntil) {
		return
	}
	m.dialing++
	go g.dial(m, m.Member)
}
