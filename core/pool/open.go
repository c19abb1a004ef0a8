package pool

import (
	"slices"
	"time"
)

// maxDials bounds the connections that a host opens to a member at once. Opening takes
// one of the member's slots: when all hosts start again at once, statements would wait
// behind the opening of every host's share.
const maxDials = 1

// MaxConns is how many connections the host may have to the member.
func (p *Pool) MaxConns(m *Member) int {
	limit := p.view.Share(m.id)
	if p.view.MayExceedShare() {
		limit += m.burst.extra
	}
	return limit
}

// openForWaiters opens connections for statements that wait, in the order in which they are served.
func (p *Pool) openForWaiters(left []*Waiter, now time.Time) {
	coming := map[string]int{} // by account
	for _, m := range p.sorted {
		m.burst.grow(now, len(left) > 0 && len(m.idle) == 0 && m.open >= p.MaxConns(m))
		for account, n := range m.dials {
			coming[account] += n
		}
	}
	waiting := map[string]bool{}
	for _, w := range left {
		waiting[w.Request.Account] = true
	}
	for _, w := range left {
		if coming[w.Request.Account] > 0 {
			coming[w.Request.Account]--
			continue
		}
		if m := p.dialTarget(w.Request, waiting, now); m != nil {
			p.openOrReplace(m, w.Request.Account, waiting)
		}
	}
}

// dialTarget returns the member on which another connection would serve the need soonest, or nil.
func (p *Pool) dialTarget(n Request, waiting map[string]bool, now time.Time) *Member {
	m := p.cheapest(n, now, func(m *Member) bool {
		// With an idle connection, it is the window that keeps the statement waiting.
		return m.idleIndex(n.Account) < 0 && p.canOpen(m, waiting) && !now.Before(m.dialBlockedUntil) &&
			m.running+m.dialCount() <= max(1, m.slots)
	})
	if m == nil || m.dialCount() >= maxDials {
		return nil
	}
	return m
}

// canOpen reports whether a connection to the member may be opened, if need be in place of one of an
// account that has no statement waiting.
func (p *Pool) canOpen(m *Member, waiting map[string]bool) bool {
	return m.open+m.dialCount() < p.MaxConns(m) || m.open+m.dialCount() <= p.MaxConns(m) && victim(m, waiting) >= 0
}

// victim returns the index of the idle connection that was not used for longest, of accounts without
// statements that wait, or -1.
func victim(m *Member, waiting map[string]bool) int {
	return slices.IndexFunc(m.idle, func(c *Conn) bool { return !waiting[c.Account] })
}

// openOrReplace orders a connection, and closes another one first if there is no room.
func (p *Pool) openOrReplace(m *Member, account string, waiting map[string]bool) {
	if m.open+m.dialCount() >= p.MaxConns(m) {
		if i := victim(m, waiting); i >= 0 {
			p.closeConn(m.removeIdle(i))
			m.open--
		}
	}
	p.startDial(m, account)
}

func (p *Pool) startDial(m *Member, account string) {
	m.dials[account]++
	p.actions = append(p.actions, Open{m.id, account})
}

// openPreferred opens a connection to the member that would have been chosen if the account had one
// free. Otherwise reads would stay with the first member that a connection was opened
// to, mostly the primary, until its connections run out.
func (p *Pool) openPreferred(n Request, chosen *Member, now time.Time) {
	better := p.cheapest(n, now, func(m *Member) bool {
		return m == chosen || m.dialCount() == 0 && m.idleIndex(n.Account) < 0 && m.open < p.view.Share(m.id) && !now.Before(m.dialBlockedUntil)
	})
	if better != nil && better != chosen {
		p.startDial(better, n.Account)
	}
}

// Prewarm opens a connection to the member for an account if there is none at all.
func (p *Pool) Prewarm(m *Member, account string, now time.Time) {
	if m.Unconnected() && p.MaxConns(m) > 0 && !now.Before(m.dialBlockedUntil) {
		p.startDial(m, account)
	}
}

// BeginDial records that the owner opens a connection without an order.
func (p *Pool) BeginDial(m *Member, account string) { m.dials[account]++ }

// Available reports whether the member could serve an account now, or after the opening of a connection.
func (p *Pool) Available(m *Member, account string, now time.Time) bool {
	if !m.window.Allows(m.running, now) {
		return false
	}
	return m.idleIndex(account) >= 0 || p.canOpen(m, nil) && !now.Before(m.dialBlockedUntil)
}

func (m *Member) dialEnded(account string) {
	if m.dials[account]--; m.dials[account] <= 0 {
		delete(m.dials, account)
	}
}

// Opened takes a connection over that was opened, and is idle. It returns nil, and closes nothing, if the
// member is gone.
func (p *Pool) Opened(m *Member, account string, now time.Time) *Conn {
	m.dialEnded(account)
	if m.removed {
		return nil
	}
	m.open++
	c := &Conn{Account: account, member: m, lastUsed: now}
	m.idle = append(m.idle, c)
	return c
}

// OpenFailed records that a connection could not be opened, since the member has none left if full is true,
// and else since it could not be reached.
func (p *Pool) OpenFailed(m *Member, account string, full bool, now time.Time) {
	m.dialEnded(account)
	if !full {
		m.dialBlockedUntil = now.Add(dialBackoff)
		return
	}
	m.burst.reset(now)
	m.dialBlockedUntil = now.Add(fullBackoff)
}

// OpenAbandoned records that a connection was not opened for a reason that says nothing of the next one.
func (p *Pool) OpenAbandoned(m *Member, account string) { m.dialEnded(account) }
