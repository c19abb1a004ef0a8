package upstream

import (
	"context"
	"time"

	"pearlatch/core/group"
)

// prewarm opens connections to each member up to half of its limit, so that a
// promoted member can be used at once. p.mu must be held.
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

// prewarmSuccessor closes idle connections to the old primary and opens a primary's
// share of connections to the member that is about to be promoted. Otherwise the
// requests that wait for the promotion would then wait for connections as well. p.mu
// must be held.
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

// tryOpen begins to open a connection to member i if the member's limit and the
// group's connection budget allow it. If only the budget does not, an idle connection
// to another member is closed. p.mu must be held.
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

// totalOpen returns the number of connections to all members that are open or being
// opened. p.mu must be held.
func (p *pool) totalOpen() int {
	n := 0
	for i := range p.members {
		n += p.members[i].open()
	}
	return n
}

// reserveForeign reserves the given number of connections for the sessions of other
// owners, control connections included, and raises or lowers maxOpen accordingly.
func (p *pool) reserveForeign(sessions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.members)
	p.maxOpen = min(p.limit, p.owner.options.Group.Connections-n-1-sessions)
	p.assignQueued()
}

// evictIdle closes an idle connection to a member other than except, and reports
// whether it did. It returns false if more than maxOpen connections are open. p.mu
// must be held.
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

// openConn opens a connection to member i and assigns it to a waiting request, if
// any. The caller has counted it in opening.
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
