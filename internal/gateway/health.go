package gateway

import (
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

const (
	// healthyProbeInterval is the time between two rounds of probes while callers' statements show
	// that the group is healthy. It bounds the detection of faults that statements do not show, such
	// as the failure of a replica that serves no reads.
	healthyProbeInterval = 3 * time.Second
	// idleProbeInterval is the time between two rounds of probes while the group is idle and the last
	// round found no fault. The loss of the primary is then detected before most callers return, or by
	// the statement of the first caller. healthyProbeInterval and idleProbeInterval together reduced
	// the probes of a quiet day for three groups from 598 to 293.
	idleProbeInterval = 1400 * time.Millisecond
	// hangingWriteTimeout is how long a write may remain unanswered before the replicas are probed for
	// whether they receive the log. Writes take up to 50 ms.
	hangingWriteTimeout = 200 * time.Millisecond
	// suspicionReportPeriod is for how long after the primary failed to answer a host the coordinator
	// is told of it. Within that time the next statements show more.
	suspicionReportPeriod = time.Second
	// lagHealthWindow is for how long the group is not healthy after a replica lagged far behind or
	// could not be used while statements waited, since the primary may be overloaded.
	lagHealthWindow = time.Second
)

// healthySince reports whether statements show that the primary serves, writes are acknowledged and
// replicas keep up, so that the coordinator need not probe. The statements are those of this host, or
// of a host that reported the group healthy when it requested its lease. answered is when the latest
// one that the primary answered was sent.
func (g *Group) healthySince() (answered time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	m := g.members[g.primaryID]
	if m == nil || !m.silentSince.IsZero() || len(g.missingMembers()) > 0 {
		return time.Time{}, false
	}
	answered = m.answeredStatementSentAt
	if m.reportedAnswer.After(answered) {
		answered = m.reportedAnswer
	}
	return answered, g.locallyHealthy(now) || !g.lacksReplicas(now) && now.Sub(g.peerHealthyAt) < leaseRenewInterval+probeInterval
}

// notePeerReport records another serving host's view of the group. If the primary fails to answer that
// host, the coordinator probes at once.
func (g *Group) notePeerReport(r LeaseRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.peerAskedAt = now
	if r.Healthy {
		g.peerHealthyAt = now
	}
	g.notePeerAnswer(r, now)
	if r.SuspectsPrimary {
		g.peerHealthyAt = time.Time{}
		g.wakeCoordinator()
	}
}

// notePeerAnswer records the primary's answer that another host reports. g.mu must be held.
func (g *Group) notePeerAnswer(r LeaseRequest, now time.Time) {
	id, age := r.Answered, r.AnswerAge
	if id == "" && r.Healthy {
		id, age = g.primaryID, probeInterval // a host of an earlier version
	}
	if m := g.members[id]; m != nil && now.Add(-age).After(m.reportedAnswer) {
		m.reportedAnswer = now.Add(-age)
	}
}

// wakeCoordinator makes the coordinator probe the members now, if it is this host. It may be called
// from several goroutines.
func (g *Group) wakeCoordinator() {
	select {
	case g.probeSignal <- struct{}{}:
	default:
	}
}

// healthReport returns the health fields of a LeaseRequest, based on this host's own statements.
func (g *Group) healthReport() LeaseRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r := LeaseRequest{Healthy: g.locallyHealthy(now)}
	m := g.members[g.primaryID]
	if m == nil {
		return r
	}
	// Without the limit, a host that has not used the primary since would report the failure forever.
	r.SuspectsPrimary = !m.silentSince.IsZero() && now.Sub(m.silentSince) < suspicionReportPeriod
	if age := now.Sub(m.answeredStatementSentAt); r.Healthy || age < leadership.LeaseDuration {
		r.Answered, r.AnswerAge = m.ID, age
	}
	return r
}

// locallyHealthy reports whether this host's own statements show a healthy group. g.mu must be held.
func (g *Group) locallyHealthy(now time.Time) bool {
	m := g.members[g.primaryID]
	switch {
	case m == nil || m.Leaving || !m.missingSince.IsZero() || !m.silentSince.IsZero():
		return false
	case now.Sub(m.statementAnsweredAt) > probeInterval:
		return false
	case g.acks.Hanging(now, hangingWriteTimeout):
		return false
	}
	return len(g.missingMembers()) == 0 && !g.lacksReplicas(now)
}

// isIdle reports whether no statement has needed the primary recently, on this host or on one that
// requests leases, and no fault of the members is known. The coordinator then probes at
// idleProbeInterval.
func (g *Group) isIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[g.primaryID]
	if m == nil || m.Leaving || !m.silentSince.IsZero() || len(g.missingMembers()) > 0 {
		return false
	}
	now := g.now()
	return now.Sub(g.primaryNeededAt) > leaseIdleTimeout && now.Sub(g.peerAskedAt) > leaseIdleTimeout
}

// beginWrite records that a write was sent to the primary. The returned function records that the
// write has ended, and whether it was acknowledged.
func (g *Group) beginWrite() func(acknowledged bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acks.Begin(g.now())
	return func(acknowledged bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.acks.End(g.now(), acknowledged)
	}
}

// newestSample returns the newest known position of the primary and the time at which it was sampled.
func (g *Group) newestSample() (group.Position, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.samples.LatestSample()
}
