package gateway

import (
	"time"

	"pearlatch/core/group"
)

// noteLag records that the member has only applied the log up to held, which was not enough for a
// statement. The member then gets no such statements for a time that grows with its lag.
func (g *Group) noteLag(m *member, held group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	m.applied = held
	pause := maxLagRetry
	since := g.samples.AsOf(held)
	if !since.IsZero() {
		pause = min(maxLagRetry, max(minLagRetry, now.Sub(since)/lagRetryDivisor))
	}
	if now.Sub(since) > g.maxStaleness/2 {
		g.replicaLaggedAt = now // far enough behind that the primary may soon be overloaded
	}
	if now.Sub(since) > g.maxStaleness {
		m.behindAt = now
	}
	m.lagUntil = now.Add(pause)
}

// noteApplied records up to which position the member has applied the log, according to its answer to a request that was sent
// at the given time.
func (g *Group) noteApplied(m *member, sentAt time.Time, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Compare(m.applied) > 0 {
		m.applied = p
	}
	if p != (group.Position{}) && sentAt.After(m.appliedAsOf) {
		m.appliedAsOf = sentAt
	}
}

// appliedSince returns up to which position the member has applied the log, or false if no answer to a request that was sent
// after the given time shows it.
func (g *Group) appliedSince(id string, since time.Time) (group.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil && m.appliedAsOf.After(since) {
		return m.applied, true
	}
	return group.Position{}, false
}
