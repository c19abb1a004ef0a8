package pool

import (
	"cmp"
	"slices"
	"time"

	"pearlatch/core/admission"
	"pearlatch/core/placement"
)

const (
	// fullBackoff is how long no connection is opened after the member had none
	// left: the duration of a few statements.
	fullBackoff = 60 * time.Millisecond
	// unreachableBackoff is how long no connection is opened after the member could
	// not be reached.
	unreachableBackoff = 200 * time.Millisecond
	// avoidPenalty is added to the cost of a member that has just failed the
	// statement. It is as long as a member stays suspect.
	avoidPenalty = 500 * time.Millisecond
	// burstIdleTimeout is how long an unused connection above the host's share
	// is kept. It is short, so that other hosts find room.
	burstIdleTimeout = 300 * time.Millisecond
	// shareIdleTimeout is how long an unused connection within the share is kept,
	// after which a busier host may open one in its place. On sites of 7 and 8
	// hosts, lending connections gains more than reopening them costs.
	// manyHostsIdleTimeout applies to more than ManyHosts hosts, each of which
	// sends a member about one statement per second.
	shareIdleTimeout     = time.Second
	manyHostsIdleTimeout = 20 * time.Second
)

// Pool holds a host's connections to the members of a group. Use New to create
// one. A Pool is not safe for concurrent use.
type Pool struct {
	view View
	// members holds the members by ID, and sorted holds them in order of their
	// IDs.
	members map[string]*Member
	sorted  []*Member
	// queue holds the waiting statements.
	queue admission.FairQueue[*Waiter]
	// idleSlots is how many slots were idle for waiting statements as of
	// idleSince, and idleSlotTime the total since it was last fetched.
	idleSlots    int
	idleSince    time.Time
	idleSlotTime time.Duration
	// actions are those that the owner has not fetched yet.
	actions []Action
}

// New returns a pool without members.
func New(v View) *Pool { return &Pool{view: v, members: map[string]*Member{}} }

// DrainActions returns the actions decided since the last call.
func (p *Pool) DrainActions() []Action {
	out := p.actions
	p.actions = nil
	return out
}

// closeConn instructs the owner to close a connection.
func (p *Pool) closeConn(c *Conn) { p.actions = append(p.actions, Close{c}) }

// Add adds a member that runs at most slots statements at once.
func (p *Pool) Add(id string, slots int) *Member {
	m := &Member{id: id, slots: slots, opening: map[string]int{}}
	p.members[id] = m
	i, _ := slices.BinarySearchFunc(p.sorted, id, func(o *Member, id string) int { return cmp.Compare(o.id, id) })
	p.sorted = slices.Insert(p.sorted, i, m)
	return m
}

// Remove removes a member. Its idle connections are closed now, and those in
// use when they are released.
func (p *Pool) Remove(m *Member) {
	m.removed = true
	p.CloseIdle(m)
	if p.members[m.id] == m {
		delete(p.members, m.id)
	}
	p.sorted = slices.DeleteFunc(p.sorted, func(o *Member) bool { return o == m })
}

// CloseIdle closes the idle connections to a member.
func (p *Pool) CloseIdle(m *Member) {
	for _, c := range m.idle {
		m.connCount--
		p.closeConn(c)
	}
	m.idle = nil
}

// Take takes the connection that serves the request soonest, or returns nil if
// none is idle. If another member would be preferred but the account has no
// connection to it, Take opens one there for the next statement.
func (p *Pool) Take(r ConnRequest, now time.Time) *Conn {
	c := p.takeIdle(r, now)
	if c != nil {
		p.openPreferred(r, c.member, now)
	}
	return c
}

// takeIdle takes the idle connection that serves the request soonest, or
// returns nil. Connections that the member has closed are removed.
func (p *Pool) takeIdle(r ConnRequest, now time.Time) *Conn {
	for {
		best := p.cheapest(r, now, func(m *Member) bool { return m.window.Allows(m.running, now) && m.idleIndex(r.Account) >= 0 })
		if best == nil {
			return nil
		}
		c := best.removeIdle(best.idleIndex(r.Account))
		if p.view.Alive(c) {
			best.inUse++
			best.running++
			c.running, c.takenAt, c.class = true, now, r.Class()
			return c
		}
		best.connCount--
		p.closeConn(c)
	}
}

// TakeAnyIdle takes an idle connection to the member, opened for whatever
// account, for a query that the host itself makes. It returns nil if there is
// none.
func (p *Pool) TakeAnyIdle(m *Member) *Conn {
	if len(m.idle) == 0 {
		return nil
	}
	m.inUse++
	return m.removeIdle(len(m.idle) - 1)
}

// Unconnected reports whether no connection to the member exists or is being
// opened.
func (m *Member) Unconnected() bool { return m.connCount+m.openingCount() == 0 }

// cheapest returns the member with the lowest cost among those that may serve
// the request and for which eligible returns true, or nil.
func (p *Pool) cheapest(r ConnRequest, now time.Time, eligible func(*Member) bool) *Member {
	var best *Member
	var bestCost time.Duration
	for _, m := range p.sorted {
		if !p.view.CanServe(m.id, r, now) || !eligible(m) {
			continue
		}
		cost := p.cost(m, now)
		if m.id == r.Avoid {
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
		Latency: m.latency, Running: m.running + m.openingCount(), SameZone: at.SameZone, IsPrimary: at.IsPrimary, Suspect: at.Suspect,
	}.Cost()
}

// Release returns a connection to the pool after a statement or a transaction.
func (p *Pool) Release(c *Conn, now time.Time) {
	m := c.member
	m.inUse--
	p.clearRunning(c, now)
	c.lastUsed = now
	if m.removed || !p.view.KeepsIdle(m.id, now) {
		m.connCount--
		p.closeConn(c)
		return
	}
	m.idle = append(m.idle, c)
}

// MarkIdleInTransaction records that a transaction holds the connection between
// two statements.
func (p *Pool) MarkIdleInTransaction(c *Conn, now time.Time) { p.clearRunning(c, now) }

// Discard closes a connection that is in use, instead of releasing it.
func (p *Pool) Discard(c *Conn, now time.Time) {
	c.member.inUse--
	p.clearRunning(c, now)
	c.member.connCount--
	p.closeConn(c)
}

// clearRunning records that no statement runs on the connection, and charges
// the account for the slot time that was used.
func (p *Pool) clearRunning(c *Conn, now time.Time) {
	if c.running {
		c.running = false
		c.member.running--
		p.queue.Charge(c.Account, c.class, now.Sub(c.takenAt))
	}
}
