package upstream

import (
	"context"
	"time"

	"pearlatch/core/group"
)

// prewarm keeps half of each member's share of connections open, so that a
// promoted member can be used at once.
func (p *pool) prewarm() {
	if p.closed {
		return
	}
	v, now := p.owner.view(), time.Now()
	if v.phase >= HandingOver {
		return
	}
	if v.successor != group.NoMember {
		p.prewarmSuccessor(v.successor, now)
		return
	}
	for i, m := range v.members {
		limit := p.replicaCap
		if i == v.primary {
			limit = p.primaryCap
		}
		if m.present && !m.leaving && p.members[i].open() < (limit+1)/2 && p.totalOpen() < p.maxOpen {
			p.tryOpen(i, limit, now)
		}
	}
}

// prewarmSuccessor opens a primary's share of connections to the member that is about to
// be promoted, as those to the old primary go: the requests that wait for the
// promotion would otherwise wait for connections as well.
func (p *pool) prewarmSuccessor(successor int, now time.Time) {
	if p.primary != group.NoMember {
		p.closeIdle(p.primary)
	}
	m := &p.members[successor]
	for m.open() < p.primaryCap && p.totalOpen() < p.maxOpen && !now.Before(m.notBefore) {
		m.opening++
		go p.openConn(successor)
	}
}

// tryOpen opens a connection to member i if its share and the group's budget
// allow. When only the budget is in the way, an idle connection to another
// member makes room.
func (p *pool) tryOpen(i, limit int, now time.Time) {
	m := &p.members[i]
	if m.open() >= limit || m.opening >= maxOpening || now.Before(m.notBefore) || m.opening >= p.queue.Len()+1 {
		return
	}
	if p.totalOpen() >= p.maxOpen && !p.evictIdle(i) {
		return
	}
	m.opening++
	go p.openConn(i)
}

func (p *pool) totalOpen() int {
	n := 0
	for i := range p.members {
		n += p.members[i].open()
	}
	return n
}

// reserveForeign keeps the given number of connections for earlier owners, their
// control connections included.
func (p *pool) reserveForeign(strangers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.members)
	p.maxOpen = min(p.limit, p.owner.options.Group.Connections-n-1-strangers)
	p.assignQueued()
}

func (p *pool) evictIdle(except int) bool {
	if p.totalOpen() > p.maxOpen {
		return false
	}
	for i := range p.members {
		if m := &p.members[i]; i != except && len(m.idle) > 0 {
			m.idle[0].close()
			m.idle = m.idle[1:]
			return true
		}
	}
	return false
}

func (p *pool) openConn(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	member := p.owner.options.Group.Members[i]
	pg, err := p.dialer.connect(ctx, member)
	var c *conn
	if err == nil {
		c, err = newConn(ctx, pg, i)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &p.members[i]
	m.opening--
	switch {
	case err != nil:
		p.owner.logStep("open_connection", i, err)
		m.notBefore = time.Now().Add(openRetryDelay)
		time.AfterFunc(openRetryDelay, p.dispatch)
	case p.closed:
		c.close()
	default:
		m.idle = append(m.idle, c)
		p.assignQueued()
	}
}
