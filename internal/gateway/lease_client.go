package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

const (
	// leaseRenewInterval is the pause between two questions for a lease on a primary: two of
	// them may get lost before it runs out.
	leaseRenewInterval = 300 * time.Millisecond
	// leaseRetryInterval is the pause after a question that brought no lease.
	leaseRetryInterval = 100 * time.Millisecond
	// leaseRequestTimeout bounds the question: a few round trips within a region.
	leaseRequestTimeout = 150 * time.Millisecond
	// leaseIdleTimeout is how long after a statement that needed the primary the lease is
	// kept up. It spares groups without callers.
	leaseIdleTimeout = 2 * time.Second
)

// LeaseRequest asks for a lease on the primary of a group, on behalf of a host.
type LeaseRequest struct {
	Group, Host string
	// Healthy is true if the host's own statements show that the group is well, and SuspectsPrimary if
	// the primary has failed to answer there since it last did.
	Healthy, SuspectsPrimary bool
	// SampleOnly asks for a position of the primary alone. A host that does not serve the group
	// needs no lease, and a change of primary need not wait for it.
	SampleOnly bool
}

// LeaseReply answers a host that asks for a lease on the primary.
type LeaseReply struct {
	// Granted is for how long, or zero. WritesOnly is as in a leadership.Lease.
	Granted    time.Duration
	WritesOnly bool
	// Member is the primary and Term the one in which it leads.
	Member string
	Term   group.Term
	// Position is one of the primary's log that the holder saw so long ago as Age says,
	// or zero. What the primary had acknowledged before is included in it.
	Position group.Position
	Age      time.Duration
}

// maintainLease keeps the lease on a group's primary for as long as statements need it.
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

// awaitLeaseSignal waits until a lease is asked for, or due. It returns false when ctx ended.
func (g *Group) awaitLeaseSignal(ctx context.Context, due <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.leaseSignal:
	case <-due:
	}
	return true
}

// acquireLease asks the holder of the group's duty for a lease. It returns false if it got none.
func (h *Host) acquireLease(ctx context.Context, g *Group) bool {
	asked := h.now()
	reply, err := h.requestLease(ctx, g.name)
	if err == nil {
		g.applySample(asked, reply)
	}
	if err != nil || reply.Granted <= 0 {
		g.dropExpiredLease(asked, err)
		return false
	}
	g.applyLease(asked, reply)
	return true
}

// applySample takes over where the primary's log stood, and who that is.
func (g *Group) applySample(asked time.Time, r LeaseReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Position == (group.Position{}) || r.Term < g.primaryTerm || g.members[r.Member] == nil {
		return
	}
	g.primaryTerm = r.Term
	g.addSample(r.Member, asked.Add(-r.Age), r.Position)
}

// errNoCoordinator means that no host is known to hold a duty.
var errNoCoordinator = errors.New("no host is known to hold the group's duty")

func (h *Host) requestLease(ctx context.Context, groupName string) (LeaseReply, error) {
	h.mu.Lock()
	entry, _ := h.storeView.Item(h.coordinatorKey(groupName))
	holder, d := string(entry.Value), h.coordinators[groupName]
	h.mu.Unlock()
	if d != nil && d.isHeld() {
		return d.grantLease(h.settings.Host), nil
	}
	r := LeaseRequest{Group: groupName, Host: h.settings.Host}
	if g := h.existingGroup(groupName); g != nil {
		r.Healthy, r.SuspectsPrimary = g.healthReport()
		r.SampleOnly = !g.servesHere()
	}
	addr, ok := h.fleet.Address(holder)
	if !ok || h.ports.Peers == nil {
		return LeaseReply{}, errNoCoordinator
	}
	call, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	return h.ports.Peers.RequestLease(call, addr, r)
}

// servesHere reports whether the host serves the group, or does for now.
func (g *Group) servesHere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.plan.ServedByOthers || g.isFallback(g.now()) || g.isIsolated()
}

// needsLease reports whether the group's primary was needed here lately.
func (g *Group) needsLease() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Sub(g.primaryNeededAt) < leaseIdleTimeout
}

// notePrimaryNeeded records that a statement needs the primary, and asks for a lease at once if
// there is none.
func (g *Group) notePrimaryNeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.primaryNeededAt) >= leaseIdleTimeout || !g.lease.CoversReads(g.primaryID, now) {
		g.signalLease()
	}
	g.primaryNeededAt = now
}

// signalLease makes the host ask for a lease now.
func (g *Group) signalLease() {
	select {
	case g.leaseSignal <- struct{}{}:
	default:
	}
}

// applyLease takes over a lease that was asked for at the given time.
func (g *Group) applyLease(asked time.Time, r LeaseReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[r.Member]
	if m == nil || m.dropped || r.Term < g.primaryTerm || !asked.After(g.leaseRevokedAt) {
		return
	}
	had := g.lease.CoversReads(r.Member, asked)
	if g.lease.WritesOnly && g.lease.Member != r.Member {
		// What the primary before acknowledged until its heir led may still be on its way.
		g.writeLease = g.lease
	}
	g.primaryTerm = r.Term
	g.lease = g.lease.Extend(leadership.Lease{
		Member: r.Member, Term: r.Term, WritesOnly: r.WritesOnly, From: asked, Until: asked.Add(r.Granted),
	})
	m.beingReplaced, m.refusedTerm = false, min(m.refusedTerm, r.Term-1)
	if !had && !r.WritesOnly {
		g.log("lease", "member", r.Member, "term", r.Term, "for_ms", r.Granted.Milliseconds())
	}
	if !r.WritesOnly {
		g.noteOutageEnd()
		// In a planned change the heir may lead already, and the holder not know of it yet.
		g.setPrimary(r.Member, "leased")
	}
	g.dispatch()
}

// dropExpiredLease writes a line once a lease has run out and none is to be had.
func (g *Group) dropExpiredLease(asked time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.Member == "" || asked.Before(g.lease.Until) {
		return
	}
	g.log("lease_ended", "member", g.lease.Member, "term", g.lease.Term, "age_ms", asked.Sub(g.lease.Until).Milliseconds(), "err", err)
	g.lease = leadership.Lease{}
}

// leaseCoversWrites reports whether what the member acknowledged in the term by the given time stays, by
// a lease of either kind.
func (g *Group) leaseCoversWrites(id string, term group.Term, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.Term == term && g.lease.CoversWrites(id, at) || g.writeLease.Term == term && g.writeLease.CoversWrites(id, at)
}

// hasLease reports whether the host holds a lease on the member.
func (g *Group) hasLease(id string, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.CoversReads(id, at)
}

// RevokeLease gives the host's lease on a group's primary back: the holder of the duty is about
// to replace it. planned is true if the primary goes on to serve until then.
func (h *Host) RevokeLease(groupName, memberID string, planned bool) {
	if g := h.existingGroup(groupName); g != nil { // without a Group the host has no lease
		g.revokeLease(memberID, planned)
	}
}

func (g *Group) revokeLease(id string, planned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log("lease_recalled", "member", id, "planned", planned)
	// A lease that was granted just before may still be on its way here. The holder takes it for
	// returned with this answer.
	g.leaseRevokedAt = g.now()
	if planned {
		g.lease = g.lease.Downgraded()
		return
	}
	if g.lease.Member == id {
		g.lease = leadership.Lease{}
	}
	m := g.members[id]
	if m == nil {
		return
	}
	// It goes on to say that it leads for as long as it has not heard of the next primary.
	m.beingReplaced = true
	if g.primaryID == id {
		g.setPrimary("", "recalled")
	}
}

// clearAllReplacements lets every member lead that an earlier holder of the duty set out to replace. What
// became of that, the new one finds out from the record and the members.
func (g *Group) clearAllReplacements() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.sortedMembers {
		m.beingReplaced = false
	}
}

// clearReplacement lets a primary lead on that was to be replaced and could not be.
func (g *Group) clearReplacement(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.beingReplaced = false
	}
}
