package pool

import "time"

// Trim closes connections that have been idle for too long, and opens spare
// ones. hosts is the number of hosts that share the members, and warm returns
// how many connections to a member are kept open regardless of use. It is zero
// unless the host serves the group for others.
func (p *Pool) Trim(now time.Time, hosts int, warm func(*Member) int) {
	for _, m := range p.sorted {
		p.trimMember(m, now, hosts, warm(m))
		p.openSpare(m, now, warm(m))
	}
}

// trimMember closes the member's connections that have been idle for too long.
func (p *Pool) trimMember(m *Member, now time.Time, hosts, warm int) {
	share := p.view.Share(m.id)
	m.servesOthers = warm > 0
	kept := m.idle[:0]
	for _, c := range m.idle {
		timeout := shareIdleTimeout
		// Where few hosts serve for many, most accounts use a connection less than once per second. In a
		// replay of 80 accounts, 48 connections were opened for 100 statements when unused ones were closed
		// after a second, and 20 when they were kept.
		if hosts > ManyHosts || warm > 0 && c.Account != "" && m.connCount <= p.replaceFrom(m) {
			timeout = manyHostsIdleTimeout
		}
		if m.connCount > share {
			timeout = burstIdleTimeout
		}
		if p.view.KeepsIdle(m.id, now) && (now.Sub(c.lastUsed) < timeout || m.connCount <= warm) {
			kept = append(kept, c)
			continue
		}
		m.connCount--
		p.closeConn(c)
	}
	clear(m.idle[len(kept):])
	m.idle = kept
}

// openSpare opens a connection ahead of demand while no statement waits.
// Opening one occupies a slot of the member for as long as two or three
// statements, which does no harm then. Where callers have accounts, a spare
// connection belongs to none and would serve nobody.
func (p *Pool) openSpare(m *Member, now time.Time, warm int) {
	if p.queue.Len() > 0 || m.openingCount() > 0 || m.connCount >= warm || m.hasAccounts || !p.view.CanServe(m.id, ConnRequest{}, now) || now.Before(m.openBlockedUntil) {
		return
	}
	p.startOpen(m, "")
}
