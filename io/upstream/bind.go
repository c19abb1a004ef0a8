package upstream

import (
	"math/rand/v2"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/statement"
)

// probeWhileStale makes the members be probed repeatedly while the read w waits
// for a replica to become fresh enough, until the returned function is called. If a
// replica is fresh enough, the read waits for a connection only, and no probes are
// made. If no replica is expected to be fresh enough before w.primaryAt, the read
// may use the primary at once.
func (p *pool) probeWhileStale(w *connRequest) (done func()) {
	v, now := p.owner.view(), time.Now()
	for i := range v.members {
		if v.canServe(i, w.requirement, now) {
			return func() {}
		}
	}
	if wait, ok := p.owner.replicaWait(w.requirement, now); !ok || wait > w.primaryAt.Sub(now) {
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

// addStaleReads adds n to the number of reads that wait for a fresh replica.
func (p *pool) addStaleReads(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleReads += n
}

// bindEarly sets w.member for the bindings EarlyTwo and EarlyLeast: the replica
// with the fewest bound reads, out of two random ones or out of all that can serve
// w. p.mu must be held.
func (p *pool) bindEarly(w *connRequest) {
	w.member = group.NoMember
	if p.owner.options.Binding == Late || w.kind != statement.Read {
		return
	}
	v, now := p.owner.view(), time.Now()
	var candidates []int
	for i := range v.members {
		if v.canServe(i, w.requirement, now) {
			candidates = append(candidates, i)
		}
	}
	if p.owner.options.Binding == EarlyTwo && len(candidates) > 2 {
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:2]
	}
	for _, i := range candidates {
		if w.member == group.NoMember || p.members[i].boundReads < p.members[w.member].boundReads {
			w.member = i
		}
	}
	if w.member != group.NoMember {
		p.members[w.member].boundReads++
	}
}

// acquireDirect returns an idle connection for w, or nil if there is none or if
// other requests are queued. p.mu must be held.
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

// findConn takes an idle connection that can serve w. If there is none, it begins
// to open one within the limits and returns nil. p.mu must be held.
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

// findReplicaConn takes a connection to the least busy replica that can serve w and
// has an idle connection. If none has one, it begins to open a connection and
// returns nil. Opening one takes longer than most reads.
func (p *pool) findReplicaConn(v *view, w *connRequest, now time.Time) *conn {
	best, openable := group.NoMember, group.NoMember
	for i := range v.members {
		if !v.canServe(i, w.requirement, now) || w.member != group.NoMember && w.member != i {
			continue
		}
		if len(p.members[i].idle) > 0 {
			best = p.lessBusy(best, i)
		} else if p.members[i].open() < p.replicaCap {
			openable = p.lessBusy(openable, i)
		}
	}
	if best == group.NoMember {
		best = openable
	}
	if best == group.NoMember {
		return nil
	}
	return p.idleConn(best, p.replicaCap, now)
}

// lessBusy returns the member with fewer connections in use. a may be
// group.NoMember.
func (p *pool) lessBusy(a, b int) int {
	if a == group.NoMember || len(p.members[b].busy) < len(p.members[a].busy) {
		return b
	}
	return a
}

// idleConn takes an idle connection to member i. If there is none that is alive, it
// begins to open one, up to limit, and returns nil. p.mu must be held.
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
