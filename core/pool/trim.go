package pool

import "time"

// Trim closes connections that were not used for long. hosts is how many share the members, and warm how
// many connections to a member are kept all the same.
func (p *Pool) Trim(now time.Time, hosts int, warm func(*Member) int) {
	for _, m := range p.sorted {
		p.trimMember(m, now, hosts, warm(m))
		p.openSpare(m, now, warm(m))
	}
}

func (p *Pool) trimMember(m *Member, now time.Time, hosts, warm int) {
	share := p.view.Share(m.id)
	kept := m.idle[:0]
	for _, c := range m.idle {
		bound := shareIdleTimeout
		if hosts > ManyHosts {
			bound = manyHostsIdleTimeout
		}
		if m.open > share {
			bound = burstIdleTimeout
		}
		if p.view.KeepsIdle(m.id, now) && (now.Sub(c.lastUsed) < bound || m.open <= warm) {
			kept = append(kept, c)
			continue
		}
		m.open--
		p.closeConn(c)
	}
	clear(m.idle[len(kept):])
	m.idle = kept
}

// openSpare opens a connection ahead of need while nobody waits: opening takes one of the
// member's slots for as long as two or three statements, which nobody misses then.
func (p *Pool) openSpare(m *Member, now time.Time, warm int) {
	if len(p.waiters) > 0 || m.dialCount() > 0 || m.open >= warm || !p.view.CanServe(m.id, Request{}, now) || now.Before(m.dialBlockedUntil) {
		return
	}
	p.startDial(m, "")
}
