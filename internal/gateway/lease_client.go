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
	// Calm is true if the host's own statements show that the group is well, and Suspects if
	// the primary has failed to answer there since it last did.
	Calm, Suspects bool
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

// keepLease keeps the lease on a group's primary for as long as statements need it.
func (h *Host) keepLease(ctx context.Context, g *Group) {
	for g.awaitLeaseAlarm(ctx, nil) {
		for g.wantsLease() {
			pause := leaseRenewInterval
			if !h.askLease(ctx, g) {
				pause = leaseRetryInterval
			}
			timer := time.NewTimer(pause)
			ok := g.awaitLeaseAlarm(ctx, timer.C)
			timer.Stop()
			if !ok {
				return
			}
		}
	}
}

// awaitLeaseAlarm waits until a lease is asked for, or due. It returns false when ctx ended.
func (g *Group) awaitLeaseAlarm(ctx context.Context, due <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.leaseAlarm:
	case <-due:
	}
	return true
}

// askLease asks the holder of the group's duty for a lease. It returns false if it got none.
func (h *Host) askLease(ctx context.Context, g *Group) bool {
	asked := h.now()
	reply, err := h.requestLease(ctx, g.name)
	if err == nil {
		g.takeSample(asked, reply)
	}
	if err != nil || reply.Granted <= 0 {
		g.notLeased(asked, err)
		return false
	}
	g.takeLease(asked, reply)
	return true
}

// takeSample takes over where the primary's log stood, and who that is.
func (g *Group) takeSample(asked time.Time, r LeaseReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Position == (group.Position{}) || r.Term < g.leaderTerm || g.members[r.Member] == nil {
		return
	}
	g.leaderTerm = r.Term
	g.sampled(r.Member, asked.Add(-r.Age), r.Position)
}

// errNoCoordinator means that no host is known to hold a duty.
var errNoCoordinator = errors.New("no host is known to hold the group's duty")

func (h *Host) requestLease(ctx context.Context, groupName string) (LeaseReply, error) {
	h.mu.Lock()
	entry, _ := h.known.Item(h.dutyKey(groupName))
	holder, d := string(entry.Value), h.duties[groupName]
	h.mu.Unlock()
	if d != nil && d.isHeld() {
		return d.grant(h.settings.Host), nil
	}
	r := LeaseRequest{Group: groupName, Host: h.settings.Host}
	if g := h.existing(groupName); g != nil {
		r.Calm, r.Suspects = g.report()
		r.SampleOnly = !g.serves()
	}
	addr, ok := h.fleet.Address(holder)
	if !ok || h.ports.Peers == nil {
		return LeaseReply{}, errNoCoordinator
	}
	call, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	return h.ports.Peers.Lease(call, addr, r)
}

// serves reports whether the host serves the group, or does for now.
func (g *Group) serves() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.plan.Elsewhere || g.deputy(g.now()) || g.strays()
}

// wantsLease reports whether the group's primary was needed here lately.
func (g *Group) wantsLease() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Sub(g.primaryNeeded) < leaseIdleTimeout
}

// needsPrimary records that a statement needs the primary, and asks for a lease at once if
// there is none.
func (g *Group) needsPrimary() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.primaryNeeded) >= leaseIdleTimeout || !g.lease.Covers(g.leader, now) {
		g.askAgain()
	}
	g.primaryNeeded = now
}

// askAgain makes the host ask for a lease now.
func (g *Group) askAgain() {
	select {
	case g.leaseAlarm <- struct{}{}:
	default:
	}
}

// takeLease takes over a lease that was asked for at the given time.
func (g *Group) takeLease(asked time.Time, r LeaseReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[r.Member]
	if m == nil || m.gone || r.Term < g.leaderTerm || !asked.After(g.recalledAt) {
		return
	}
	had := g.lease.Covers(r.Member, asked)
	if g.lease.WritesOnly && g.lease.Member != r.Member {
		// What the primary before acknowledged until its heir led may still be on its way.
		g.handed = g.lease
	}
	g.leaderTerm = r.Term
	g.lease = g.lease.Extend(leadership.Lease{
		Member: r.Member, Term: r.Term, WritesOnly: r.WritesOnly, From: asked, Until: asked.Add(r.Granted),
	})
	m.recalled, m.refusedTerm = false, min(m.refusedTerm, r.Term-1)
	if !had && !r.WritesOnly {
		g.log("lease", "member", r.Member, "term", r.Term, "for_ms", r.Granted.Milliseconds())
	}
	if !r.WritesOnly {
		g.primaryBack()
		// In a planned change the heir may lead already, and the holder not know of it yet.
		g.setLeader(r.Member, "leased")
	}
	g.dispatch()
}

// notLeased writes a line once a lease has run out and none is to be had.
func (g *Group) notLeased(asked time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.Member == "" || asked.Before(g.lease.Until) {
		return
	}
	g.log("lease_ended", "member", g.lease.Member, "term", g.lease.Term, "age_ms", asked.Sub(g.lease.Until).Milliseconds(), "err", err)
	g.lease = leadership.Lease{}
}

// keeps reports whether what the member acknowledged in the term by the given time stays, by
// a lease of either kind.
func (g *Group) keeps(id string, term group.Term, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.Term == term && g.lease.Keeps(id, at) || g.handed.Term == term && g.handed.Keeps(id, at)
}

// leased reports whether the host holds a lease on the member.
func (g *Group) leased(id string, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.Covers(id, at)
}

// EndLease gives the host's lease on a group's primary back: the holder of the duty is about
// to replace it. planned is true if the primary goes on to serve until then.
func (h *Host) EndLease(groupName, memberID string, planned bool) {
	if g := h.existing(groupName); g != nil { // without a Group the host has no lease
		g.endLease(memberID, planned)
	}
}

func (g *Group) endLease(id string, planned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log("lease_recalled", "member", id, "planned", planned)
	// A lease that was granted just before may still be on its way here. The holder takes it for
	// returned with this answer.
	g.recalledAt = g.now()
	if planned {
		g.lease = g.lease.Handed()
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
	m.recalled = true
	if g.leader == id {
		g.setLeader("", "recalled")
	}
}

// resumeAll lets every member lead that an earlier holder of the duty set out to replace. What
// became of that, the new one finds out from the record and the members.
func (g *Group) resumeAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.order {
		m.recalled = false
	}
}

// resume lets a primary lead on that was to be replaced and could not be.
func (g *Group) resume(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.recalled = false
	}
}
