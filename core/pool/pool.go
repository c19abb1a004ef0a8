package pool

import (
	"cmp"
	"slices"
	"time"

	"pearlatch/core/placement"
)

const (
	// fullRetry is how long a member without a free connection is left alone: a
	// few statements' time.
	fullRetry = 60 * time.Millisecond
	// dialRetry is how long a member that could not be reached is left alone.
	dialRetry = 200 * time.Millisecond
	// suspectTime is what a member that just failed the statement costs: as long as it stays suspect.
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
)

// Pool is a host's connections to the members of a group. Use New. It is not safe for concurrent use.
type Pool struct {
	beliefs Beliefs
	// members holds the members by ID, and order the same in order of their IDs.
	members map[string]*Member
	order   []*Member
	// waiters are in order of priority, then arrival.
	waiters []*Waiter
	// orders are those that the owner has not taken yet.
	orders []Order
}

// New returns a pool without members.
func New(b Beliefs) *Pool { return &Pool{beliefs: b, members: map[string]*Member{}} }

// Orders returns what is to be done since the last call.
func (p *Pool) Orders() []Order {
	out := p.orders
	p.orders = nil
	return out
}

func (p *Pool) close(c *Conn) { p.orders = append(p.orders, Close{c}) }

// Add adds a member that runs so many statements at once.
func (p *Pool) Add(id string, slots int) *Member {
	m := &Member{id: id, slots: slots, opening: map[string]int{}}
	p.members[id] = m
	p.order = append(p.order, m)
	slices.SortFunc(p.order, func(a, b *Member) int { return cmp.Compare(a.id, b.id) })
	return m
}

// Drop forgets a member. Its connections are closed, those in use once they are given back.
func (p *Pool) Drop(m *Member) {
	m.gone = true
	p.CloseIdle(m)
	if p.members[m.id] == m {
		delete(p.members, m.id)
	}
	p.order = slices.DeleteFunc(p.order, func(o *Member) bool { return o == m })
}

// CloseIdle closes the connections to a member that nobody uses.
func (p *Pool) CloseIdle(m *Member) {
	for _, c := range m.idle {
		m.open--
		p.close(c)
	}
	m.idle = nil
}

// Take takes the connection that serves the need soonest, or nil if none is free. Where another member would be
// better, if the account had a connection to it, one is opened there for the next statement.
func (p *Pool) Take(n Need, now time.Time) *Conn {
	c := p.pick(n, now)
	if c != nil {
		p.openBetter(n, c.member, now)
	}
	return c
}

func (p *Pool) pick(n Need, now time.Time) *Conn {
	for {
		best := p.best(n, now, func(m *Member) bool { return m.window.Open(m.active, now) && m.idleOf(n.Account) >= 0 })
		if best == nil {
			return nil
		}
		c := best.unidle(best.idleOf(n.Account))
		if p.beliefs.Alive(c) {
			best.running++
			best.active++
			c.active = true
			return c
		}
		best.open--
		p.close(c)
	}
}

// Borrow takes any idle connection to the member for a question of the host's own, or nil.
func (p *Pool) Borrow(m *Member) *Conn {
	if len(m.idle) == 0 {
		return nil
	}
	m.running++
	return m.unidle(len(m.idle) - 1)
}

// Unused reports whether there is no connection to the member, nor one that is being opened.
func (m *Member) Unused() bool { return m.open+m.dialing() == 0 }

// best returns the member that serves the need soonest, of those that have something.
func (p *Pool) best(n Need, now time.Time, has func(*Member) bool) *Member {
	var best *Member
	var bestCost time.Duration
	for _, m := range p.order {
		if !p.beliefs.Serves(m.id, n, now) || !has(m) {
			continue
		}
		cost := p.cost(m, now)
		if m.id == n.Avoid {
			cost += suspectTime
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// cost predicts how long a read takes on the member.
func (p *Pool) cost(m *Member, now time.Time) time.Duration {
	at := p.beliefs.Place(m.id, now)
	return placement.Member{
		Latency: m.latency, Running: m.active + m.dialing(), SameZone: at.SameZone, IsPrimary: at.Leads, Suspect: at.Suspect,
	}.Cost()
}

// Release gives a connection back after a statement or a transaction.
func (p *Pool) Release(c *Conn, now time.Time) {
	m := c.member
	m.running--
	c.settle()
	c.used = now
	if m.gone || !p.beliefs.Keeps(m.id, now) {
		m.open--
		p.close(c)
		return
	}
	m.idle = append(m.idle, c)
}

// Rest records that the connection is held by a transaction between statements.
func (p *Pool) Rest(c *Conn) { c.settle() }

// Discard closes a connection in place of giving it back.
func (p *Pool) Discard(c *Conn) {
	c.member.running--
	c.settle()
	c.member.open--
	p.close(c)
}

// Dispatch gives idle connections to statements that wait, and opens more where it may. If the primary is
// lost, statements that may go by way of another host are sent on.
func (p *Pool) Dispatch(now time.Time, lost bool) {
	var left []*Waiter
	for _, w := range p.servingOrder(now) {
		c := (*Conn)(nil)
		if !lost || !w.Need.SendOn {
			if c = p.pick(w.Need, now); c == nil {
				left = append(left, w)
				continue
			}
		}
		p.orders = append(p.orders, Give{w, c})
		p.Leave(w)
	}
	p.openFor(left, now)
}
