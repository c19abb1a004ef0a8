package upstream

import (
	"math/rand/v2"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/statement"
)

// probeWhileStale has the members asked again and again while a read waits that no replica
// was fresh enough for, until the returned function is called. Reads that wait
// for a connection learn nothing from that.
func (p *pool) probeWhileStale(w *connRequest) (done func()) {
	v, now := p.owner.view(), time.Now()
	for i := range v.members {
		if v.canServe(i, w.requirement, now) {
			return func() {}
		}
	}
	if wait, ok := p.owner.replicaWait(w.requirement, now); !ok || wait > w.primaryAt.Sub(now) {
		// Patience would end in vain.
		p.mu.Lock()
		w.primaryAt = now
		p.mu.Unlock()
		p.dispatch()
		return func() {}
	}
	p.addStaleReads(1)
	p.owner.probeAll()
	return func() { p.addStaleReads(-1) }
}

func (p *pool) addStaleReads(stale int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleReads += stale
}

// bindEarly chooses the member of a read on its arrival, for early bindings. bound
// counts the requests of each member.
func (p *pool) bindEarly(w *connRequest) {
	w.member = group.NoMember
	if p.owner.options.Binding == Late || w.kind != statement.Read {
		return
	}
	v, now := p.owner.view(), time.Now()
	var fit []int
	for i := range v.members {
		if v.canServe(i, w.requirement, now) {
			fit = append(fit, i)
		}
	}
	if p.owner.options.Binding == EarlyTwo && len(fit) > 2 {
		rand.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
		fit = fit[:2]
	}
	for _, i := range fit {
		if w.member == group.NoMember || p.members[i].boundReads < p.members[w.member].boundReads {
			w.member = i
		}
	}
	if w.member != group.NoMember {
		p.members[w.member].boundReads++
	}
}

// acquireDirect returns a free connection for w if nothing waits before it.
func (p *pool) acquireDirect(w *connRequest) *conn {
	if p.closed || p.queue.Len() > 0 {
		return nil
	}
	v, now := p.owner.view(), time.Now()
	c := p.findConn(v, w, now)
	if c != nil {
		c.markAcquired(v, now)
	}
	return c
}

// findConn takes an idle connection that may serve w. Without one it opens a
// connection if there is room, and returns nil.
func (p *pool) findConn(v *view, w *connRequest, now time.Time) *conn {
	if w.kind == statement.Write {
		if !v.canConfirmWrites(now, p.owner.confirmationTTL()) {
			return nil
		}
		return p.idleConn(v.primary, p.primaryCap, now)
	}
	if c := p.findReplicaConn(v, w, now); c != nil {
		return c
	}
	if v.canConfirmWrites(now, p.owner.confirmationTTL()) && !now.Before(w.primaryAt) {
		return p.idleConn(v.primary, p.primaryCap, now)
	}
	return nil
}

// findReplicaConn takes a connection to the least busy replica that serves w and has
// one free. Only when none has is a connection opened: that takes longer than
// most reads.
func (p *pool) findReplicaConn(v *view, w *connRequest, now time.Time) *conn {
	best, spare := group.NoMember, group.NoMember
	for i := range v.members {
		if !v.canServe(i, w.requirement, now) || w.member != group.NoMember && w.member != i {
			continue
		}
		if len(p.members[i].idle) > 0 {
			best = p.lessBusy(best, i)
		} else if p.members[i].open() < p.replicaCap {
			spare = p.lessBusy(spare, i)
		}
	}
	if best == group.NoMember {
		best = spare
	}
	if best == group.NoMember {
		return nil
	}
	return p.idleConn(best, p.replicaCap, now)
}

// lessBusy returns the less busy of two members, the first of which may be none.
func (p *pool) lessBusy(a, b int) int {
	if a == group.NoMember || len(p.members[b].busy) < len(p.members[a].busy) {
		return b
	}
	return a
}

// idleConn takes an idle connection to member i, or begins to open one.
func (p *pool) idleConn(i, limit int, now time.Time) *conn {
	m := &p.members[i]
	for len(m.idle) > 0 {
		c := m.idle[len(m.idle)-1]
		m.idle = m.idle[:len(m.idle)-1]
		if !p.owner.options.Unsafe.ReuseUndrained && !c.alive() {
			c.close()
			continue
		}
		m.busy[c] = struct{}{}
		return c
	}
	p.tryOpen(i, limit, now)
	return nil
}
