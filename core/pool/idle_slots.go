package pool

import "time"

// freeSlots returns how many further statements the host may run on the member,
// as far as it knows: other hosts use the member's slots as well.
func (m *Member) freeSlots(now time.Time) int {
	busy := m.running + m.openingCount()
	if !m.window.Allows(busy, now) {
		return 0
	}
	return max(0, min(m.window.Limit(), max(1, m.slots))-busy)
}

// isSaturated reports whether members may run the request, but none of them has
// a free slot and a connection to use it that exists, is being opened or may be
// opened.
func (p *Pool) isSaturated(r ConnRequest, now time.Time) bool {
	candidates := 0
	for _, m := range p.sorted {
		if !p.view.CanServe(m.id, r, now) {
			continue
		}
		candidates++
		if m.freeSlots(now) > 0 && (m.openingCount() > 0 || m.idleIndex(r.Account) >= 0 || p.canOpen(m) && !now.Before(m.openBlockedUntil)) {
			return false
		}
	}
	return candidates > 0
}

// measureIdleSlots adds the slot time since the last dispatch during which
// slots were idle although statements waited.
func (p *Pool) measureIdleSlots(now time.Time) {
	p.idleSlotTime += time.Duration(p.idleSlots) * now.Sub(p.idleSince)
	p.idleSince = now
}

// countIdleSlots counts the idle slots that may run the first waiting
// statement.
func (p *Pool) countIdleSlots(now time.Time) {
	p.idleSlots = 0
	for e := range p.queue.All(now) {
		for _, m := range p.sorted {
			if p.view.CanServe(m.id, e.Value.Request, now) {
				p.idleSlots += m.freeSlots(now)
			}
		}
		return
	}
}

// TakeIdleSlotTime returns the slot time since its last call during which slots
// were idle although a statement waited that they could run.
func (p *Pool) TakeIdleSlotTime() time.Duration {
	out := p.idleSlotTime
	p.idleSlotTime = 0
	return out
}
