package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

const (
	// leaseRenewInterval is the time between two requests for a lease on a primary. Two
	// consecutive requests may be lost before the lease expires.
	leaseRenewInterval = 300 * time.Millisecond
	// leaseRetryInterval is the delay after a request that was not granted a lease.
	leaseRetryInterval = 100 * time.Millisecond
	// leaseRequestTimeout bounds a lease request: a few round trips within a region.
	leaseRequestTimeout = 150 * time.Millisecond
	// leaseIdleTimeout is how long the lease is renewed after the last statement that needed the
	// primary, so that groups without callers cause no lease requests.
	leaseIdleTimeout = 2 * time.Second
)

// LeaseRequest is a host's request for a lease on the primary of a group.
type LeaseRequest struct {
	Group, Host string
	// Healthy is true if the host's own statements show that the group is healthy. SuspectsPrimary is true
	// if the primary has failed to answer the host since its last reply.
	Healthy, SuspectsPrimary bool
	// Answered is the primary that answered the host's latest statement, and AnswerAge the time since that statement was
	// sent. Hosts of earlier versions leave them empty.
	Answered  string
	AnswerAge time.Duration
	// SampleOnly requests only a position of the primary, without a lease. A host that does not serve the
	// group needs no lease, and a change of primary need not wait for that host.
	SampleOnly bool
}

// LeaseReply is the coordinator's reply to a LeaseRequest.
type LeaseReply struct {
	// Granted is the duration of the lease, or zero if none is granted.
	Granted time.Duration
	// Restricted is true during a switchover, and Target is as in leadership.Lease. Coordinators of earlier versions don't name
	// the target.
	Restricted bool
	Target     string
	// Member is the primary and Term its term.
	Member string
	Term   group.Term
	// Position is a position of the primary's log that the coordinator sampled Age ago, or zero. It includes
	// every write that the primary had acknowledged before the sample.
	Position group.Position
	Age      time.Duration
}

// maintainLease acquires and renews the lease on a group's primary while statements need it. It returns when
// ctx ends.
func (h *Host) maintainLease(ctx context.Context, g *Group) {
	for g.awaitLeaseSignal(ctx, nil) {
		for g.needsLease() {
			pause := leaseRenewInterval
			if !h.acquireLease(ctx, g) {
				pause = leaseRetryInterval
			}
			timer := time.NewTimer(pause)
			ok := g.awaitLeaseSignal(ctx, timer.C)
			timer.Stop()
			if !ok {
				return
			}
		}
	}
}

// awaitLeaseSignal waits until a statement signals that it needs a lease, or due fires. It returns false if
// ctx ended.
func (g *Group) awaitLeaseSignal(ctx context.Context, due <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.leaseSignal:
	case <-due:
	}
	return true
}

// acquireLease requests a lease from the group's coordinator. It returns false if none was granted.
func (h *Host) acquireLease(ctx context.Context, g *Group) bool {
	requestedAt := h.now()
	reply, err := h.requestLease(ctx, g.name)
	if err == nil {
		g.applySample(requestedAt, reply)
	}
	if err != nil || reply.Granted <= 0 || reply.Restricted && reply.Target == "" {
		g.dropExpiredLease(requestedAt, err)
		return false
	}
	g.applyLease(requestedAt, reply)
	return true
}

// applySample records the primary and the position of its log from a lease reply.
func (g *Group) applySample(requestedAt time.Time, r LeaseReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Position == (group.Position{}) || r.Term < g.primaryTerm || g.members[r.Member] == nil {
		return
	}
	g.primaryTerm = r.Term
	g.addSample(r.Member, requestedAt.Add(-r.Age), r.Position)
}

// errNoCoordinator means that no host is known to be the group's coordinator.
var errNoCoordinator = errors.New("no host is known to be the group's coordinator")

// requestLease requests a lease from the group's coordinator, which may be this host. It returns
// errNoCoordinator if none is known or its address is not.
func (h *Host) requestLease(ctx context.Context, groupName string) (LeaseReply, error) {
	h.mu.Lock()
	entry, _ := h.storeView.Item(h.coordinatorKey(groupName))
	coordinatorID, d := string(entry.Value), h.coordinators[groupName]
	h.mu.Unlock()
	if d != nil && d.isHeld() {
		return d.grantLease(h.settings.Host), nil
	}
	r := LeaseRequest{Group: groupName, Host: h.settings.Host}
	if g := h.existingGroup(groupName); g != nil {
		r = g.healthReport()
		r.Group, r.Host, r.SampleOnly = groupName, h.settings.Host, !g.servesHere()
	}
	addr, ok := h.fleet.Address(coordinatorID)
	if !ok || h.ports.Peers == nil {
		return LeaseReply{}, errNoCoordinator
	}
	call, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	return h.ports.Peers.RequestLease(call, addr, r)
}

// servesHere reports whether the host serves the group: permanently, as a fallback, or while it is isolated.
func (g *Group) servesHere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.plan.ServedByOthers || g.isFallback(g.now()) || g.isIsolated()
}

// needsLease reports whether a statement on this host needed the primary within leaseIdleTimeout.
func (g *Group) needsLease() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Sub(g.primaryNeededAt) < leaseIdleTimeout
}

// notePrimaryNeeded records that a statement needs the primary, and triggers an immediate lease request if
// there is no valid lease.
func (g *Group) notePrimaryNeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.primaryNeededAt) >= leaseIdleTimeout || !g.lease.CoversReads(g.primaryID, now) {
		g.signalLease()
	}
	g.primaryNeededAt = now
}

// signalLease triggers an immediate lease request.
func (g *Group) signalLease() {
	select {
	case g.leaseSignal <- struct{}{}:
	default:
	}
}

// applyLease records a lease that was requested at the given time. A lease that was requested before the last
// revocation, or is of an earlier term than the known one, is ignored.
func (g *Group) applyLease(requestedAt time.Time, r LeaseReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[r.Member]
	if m == nil || m.dropped || r.Term < g.primaryTerm || !requestedAt.After(g.leaseRevokedAt) {
		return
	}
	hadLease := g.lease.CoversReads(r.Member, requestedAt)
	if g.lease.Target != "" && g.lease.Member != r.Member {
		// Writes that the previous primary acknowledged before its successor took over may still be in flight.
		g.formerLease = g.lease
	}
	g.primaryTerm = r.Term
	g.lease = g.lease.Extend(leadership.Lease{
		Member: r.Member, Term: r.Term, Target: r.Target, From: requestedAt, Until: requestedAt.Add(r.Granted),
	})
	m.beingReplaced, m.refusedTerm = false, min(m.refusedTerm, r.Term-1)
	if !hadLease && r.Target == "" {
		g.log("lease", "member", r.Member, "term", r.Term, "for_ms", r.Granted.Milliseconds())
	}
	if r.Target == "" {
		g.lateTarget = ""
		g.noteOutageEnd()
		// With a restricted lease, the switchover target may already be the primary while the coordinator does not
		// know it yet. Only a full lease therefore identifies the primary.
		g.setPrimary(r.Member, "leased")
	}
	g.dispatch()
}

// dropExpiredLease clears and logs the lease if it has expired. It is called after a lease request that was not
// granted, with that request's time and error.
func (g *Group) dropExpiredLease(requestedAt time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.Member == "" || requestedAt.Before(g.lease.Until) {
		return
	}
	g.log("lease_ended", "member", g.lease.Member, "term", g.lease.Term, "age_ms", requestedAt.Sub(g.lease.Until).Milliseconds(), "err", err)
	g.lease = leadership.Lease{}
}

// hasLease reports whether the host has a full lease on the member at the given time.
func (g *Group) hasLease(id string, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.CoversReads(id, at)
}

// Revocation is the coordinator's request to a host to give up its lease on a primary that is about to be replaced.
type Revocation struct {
	Group, Member string
	// Planned is true for a switchover. The primary then serves until it is replaced, and the lease is only restricted to
	// Target, which coordinators of earlier versions don't name.
	Planned bool
	Target  string
}

// RevokeLease carries out a revocation.
func (h *Host) RevokeLease(r Revocation) {
	if g := h.existingGroup(r.Group); g != nil { // a host without a Group has no lease
		g.revokeLease(r)
	}
}

func (g *Group) revokeLease(r Revocation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := r.Member
	g.log("lease_recalled", "member", id, "planned", r.Planned, "target", r.Target)
	// A lease that was granted just before may still be in flight. The coordinator no longer waits for it
	// once this call is answered, so applyLease must ignore it.
	g.leaseRevokedAt = g.now()
	if r.Planned {
		g.switchoverAt = g.leaseRevokedAt
		if r.Target == "" {
			g.lease = leadership.Lease{}
			return
		}
		g.lease = g.lease.Restricted(r.Target)
		return
	}
	if g.lease.Member == id {
		g.lease = leadership.Lease{}
	}
	m := g.members[id]
	if m == nil {
		return
	}
	// The member reports itself as primary until it learns of its successor.
	m.beingReplaced = true
	if g.primaryID == id {
		g.setPrimary("", "recalled")
	}
}

// clearAllReplacements clears beingReplaced of all members. A new coordinator learns from the record and the
// members what became of a replacement that an earlier one began.
func (g *Group) clearAllReplacements() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.sortedMembers {
		m.beingReplaced = false
	}
}

// clearReplacement clears beingReplaced of a primary that could not be replaced and stays the primary.
func (g *Group) clearReplacement(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.beingReplaced = false
	}
}
