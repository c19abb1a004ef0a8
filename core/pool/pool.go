package pool

import (
	"cmp"
	"slices"
	"time"

	"pearlatch/core/placement"
)

const (
	// fullBackoff is how long a member without a free connection is left alone: a
	// few statements' time.
	fullBackoff = 60 * time.Millisecond
	// dialBackoff is how long a member that could not be reached is left alone.
	dialBackoff = 200 * time.Millisecond
	// avoidPenalty is what a member that just failed the statement costs: as long as it stays suspect.
	avoidPenalty = 500 * time.Millisecond
	// burstIdleTimeout is how long a connection above the host's share is kept unused, so
	// that other hosts find room.
	burstIdleTimeout = 300 * time.Millisecond
	// shareIdleTimeout is how long a connection of the share is kept unused: a busier host may
	// then borrow it. At the users' sites of 7 and 8 hosts that serves more than it
	// costs to open connections again; crowdIdle holds for a crowd, whose hosts send a
	// member about one statement a second each.
	shareIdleTimeout     = time.Second
	manyHostsIdleTimeout = 20 * time.Second
)

// Pool is a host's connections to the members of a group. Use New. It is not safe for concurrent use.
type Pool struct {
	view View
	// members holds the members by ID, and order the same in order of their IDs.
	members map[string]*Member
	sorted  []*Member
	// waiters are in order of priority, then arrival.
	waiters []*Waiter
	// actions are those that the owner has not taken yet.
	actions []Action
}

// New returns a pool without members.
func New(b View) *Pool { return &Pool{view: b, members: map[string]*Member{}} }

// DrainActions returns what is to be done since the last call.
func (p *Pool) DrainActions() []Action {
	out := p.actions
	p.actions = nil
	return out
}

func (p *Pool) closeConn(c *Conn) { p.actions = append(p.actions, Close{c}) }

// Add adds a member that runs so many statements at once.
func (p *Pool) Add(id string, slots int) *Member {
	m := &Member{id: id, slots: slots, dials: map[string]int{}}
	p.members[id] = m
	p.sorted = append(p.sorted, m)
	slices.SortFunc(p.sorted, func(a, b *Member) int { return cmp.Compare(a.id, b.id) })
	return m
}

// Remove forgets a member. Its connections are closed, those in use once they are given back.
func (p *Pool) Remove(m *Member) {
	m.removed = true
	p.CloseIdle(m)
	if p.members[m.id] == m {
		delete(p.members, m.id)
	}
	p.sorted = slices.DeleteFunc(p.sorted, func(o *Member) bool { return o == m })
}

// CloseIdle closes the connections to a member that nobody uses.
func (p *Pool) CloseIdle(m *Member) {
	for _, c := range m.idle {
		m.open--
		p.closeConn(c)
	}
	m.idle = nil
}

// Take takes the connection that serves the need soonest, or nil if none is free. Where another member would be
// better, if the account had a connection to it, one is opened there for the next statement.
func (p *Pool) Take(n Request, now time.Time) *Conn {
	c := p.takeIdle(n, now)
	if c != nil {
		p.openPreferred(n, c.member, now)
	}
	return c
}

func (p *Pool) takeIdle(n Request, now time.Time) *Conn {
	for {
		best := p.cheapest(n, now, func(m *Member) bool { return m.window.Allows(m.running, now) && m.idleIndex(n.Account) >= 0 })
		if best == nil {
			return nil
		}
		c := best.removeIdle(best.idleIndex(n.Account))
		if p.view.Alive(c) {
			best.inUse++
			best.running++
			c.running = true
			return c
		}
		best.open--
		p.closeConn(c)
	}
}

// TakeAnyIdle takes any idle connection to the member for a question of the host's own, or nil.
func (p *Pool) TakeAnyIdle(m *Member) *Conn {
	if len(m.idle) == 0 {
		return nil
	}
	m.inUse++
	return m.removeIdle(len(m.idle) - 1)
}

// Unconnected reports whether there is no connection to the member, nor one that is being opened.
func (m *Member) Unconnected() bool { return m.open+m.dialCount() == 0 }

// cheapest returns the member that serves the need soonest, of those that have something.
func (p *Pool) cheapest(n Request, now time.Time, has func(*Member) bool) *Member {
	var best *Member
	var bestCost time.Duration
	for _, m := range p.sorted {
		if !p.view.CanServe(m.id, n, now) || !has(m) {
			continue
		}
		cost := p.cost(m, now)
		if m.id == n.Avoid {
			cost += avoidPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// cost predicts how long a read takes on the member.
func (p *Pool) cost(m *Member, now time.Time) time.Duration {
	at := p.view.Info(m.id, now)
	return placement.Member{
		Latency: m.latency, Running: m.running + m.dialCount(), SameZone: at.SameZone, IsPrimary: at.Leads, Suspect: at.Suspect,
	}.Cost()
}

// Release gives a connection back after a statement or a transaction.
func (p *Pool) Release(c *Conn, now time.Time) {
	m := c.member
	m.inUse--
	c.clearRunning()
	c.lastUsed = now
	if m.removed || !p.view.KeepsIdle(m.id, now) {
		m.open--
		p.closeConn(c)
		return
	}
	m.idle = append(m.idle, c)
}

// MarkIdleInTransaction records that the connection is held by a transaction between statements.
func (p *Pool) MarkIdleInTransaction(c *Conn) { c.clearRunning() }

// Discard closes a connection in place of giving it back.
func (p *Pool) Discard(c *Conn) {
	c.member.inUse--
	c.clearRunning()
	c.member.open--
	p.closeConn(c)
}

// Dispatch gives idle connections to statements that wait, and opens more where it may. If the primary is
// lost, statements that may go by way of another host are sent on.
func (p *Pool) Dispatch(now time.Time, lost bool) {
	var left []*Waiter
	for _, w := range p.servingOrder(now) {
		c := (*Conn)(nil)
		if !lost || !w.Request.Forwardable {
			if c = p.takeIdle(w.Request, now); c == nil {
				left = append(left, w)
				continue
			}
		}
		p.actions = append(p.actions, Assign{w, c})
		p.CancelWait(w)
	}
	p.openForWaiters(left, now)
}
