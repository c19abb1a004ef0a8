package gateway

import (
	"context"
	"sync"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
	"pearlatch/internal/pause"
)

// leaseRevokeTimeout bounds a request to give a lease back: a few round trips within a region. After it, the
// coordinator waits until the lease expires.
const leaseRevokeTimeout = 150 * time.Millisecond

// primaryStatus is what the coordinator knows of the primary. It is empty while the primary is being replaced
// in a failover.
type primaryStatus struct {
	member string
	term   group.Term
	// heardAt is when the last request that the primary answered was sent.
	heardAt time.Time
	// position is the end of its log at that time, or zero.
	position group.Position
	// target is the switchover target, or empty outside a switchover.
	target string
}

// GrantLease grants a host a lease on the primary of a group if this host is the group's coordinator and knows
// the primary. Otherwise the reply is empty.
func (h *Host) GrantLease(r LeaseRequest) LeaseReply {
	h.mu.Lock()
	d := h.coordinators[r.Group]
	h.mu.Unlock()
	if d == nil {
		return LeaseReply{}
	}
	d.group.notePeerReport(r)
	return d.answerLeaseRequest(r)
}

// answerLeaseRequest answers a request for a lease, or only for a position.
func (d *coordinator) answerLeaseRequest(r LeaseRequest) LeaseReply {
	if !r.SampleOnly {
		return d.grantLease(r.Host)
	}
	position, sampled := d.group.newestSample()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held || d.primaryStatus.member == "" || d.primaryStatus.target != "" {
		return LeaseReply{}
	}
	return LeaseReply{Member: d.primaryStatus.member, Term: d.primaryStatus.term, Position: position, Age: d.host.now().Sub(sampled)}
}

// grantLease grants the host a lease that ends before the coordinator role may pass to another host. It returns an
// empty reply if this host is not the coordinator, hands the role back, or does not know the primary.
func (d *coordinator) grantLease(host string) LeaseReply {
	now := d.host.now()
	sentAt, answered := d.group.lastAnsweredRequest(d.leasedPrimary())
	position, sampled := d.group.newestSample()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held || d.resigning || d.primaryStatus.member == "" {
		return LeaseReply{}
	}
	s := d.primaryStatus
	if answered && sentAt.After(s.heardAt) {
		s.heardAt = sentAt
	}
	granted := d.grants.Grant(host, now, leadership.GrantLimits{LastAnsweredRequest: s.heardAt, RoleUntil: d.soleHolderUntil(), Target: s.target})
	if granted == 0 && now.Sub(d.lastWokenAt) >= probeInterval {
		// The primary may not have been probed recently because no statement needed it.
		d.lastWokenAt = now
		d.group.wakeCoordinator()
	}
	return LeaseReply{Granted: granted, Restricted: s.target != "", Target: s.target, Member: s.member, Term: s.term, Position: position, Age: now.Sub(sampled)}
}

// leasedPrimary returns the member on which leases are granted, or the empty string.
func (d *coordinator) leasedPrimary() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primaryStatus.member
}

// onlySuccessor returns the only member that this coordinator may have had promoted while the leases on the primary are valid:
// the target of a switchover, else the primary itself.
func (d *coordinator) onlySuccessor() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primaryStatus.target != "" {
		return d.primaryStatus.target
	}
	return d.primaryStatus.member
}

// setPrimaryStatus replaces what is known of the primary, on which leases are granted.
func (d *coordinator) setPrimaryStatus(s primaryStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.primaryStatus = s
}

// notePrimaryAlive records a reply of the primary to a request sent at the given time, without a position.
func (d *coordinator) notePrimaryAlive(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primaryStatus.member != "" && at.After(d.primaryStatus.heardAt) {
		d.primaryStatus.heardAt, d.primaryStatus.position = at, group.Position{}
	}
}

// revokeLeases ends all leases on the primary, so that another member can be promoted. It stops granting leases,
// asks the hosts to give back theirs, and waits until the leases of hosts that don't answer have expired. In a
// switchover (target is not empty), leases that name the target may remain. It returns false if ctx ends or this host may no
// longer promote.
func (w *groupMonitor) revokeLeases(ctx context.Context, target string) bool {
	return w.endLeases(ctx, Revocation{Planned: target != "", Target: target}) && w.mayPromote()
}

// endLeases carries out the revocation at all hosts. It returns false if ctx ends.
func (w *groupMonitor) endLeases(ctx context.Context, r Revocation) bool {
	started := w.host.now()
	id := w.stopLeaseGrants(r)
	r.Group, r.Member = w.group.name, id
	var wait sync.WaitGroup
	for _, host := range w.leaseHolders(r) {
		wait.Go(func() { w.revokeHostLease(ctx, host, r) })
	}
	wait.Wait()
	for holders := w.leaseHolders(r); len(holders) > 0; holders = w.leaseHolders(r) {
		remaining := w.lastGrantEnd().Sub(w.host.now())
		w.log("leases_awaited", "member", id, "hosts", holders, "for_ms", remaining.Milliseconds())
		if !pause.For(ctx, remaining) {
			return false
		}
	}
	// Leases that the previous coordinator granted may still be valid if it was an earlier process of this
	// host, or lost its entry early.
	if !pause.For(ctx, w.predecessorEnd().Sub(w.host.now())) {
		return false
	}
	w.group.metrics.LeaseRevocation(w.group.name, w.host.now().Sub(started))
	return true
}

// stopLeaseGrants prevents further grants of leases on the primary that the revocation would end. It returns the primary.
func (w *groupMonitor) stopLeaseGrants(r Revocation) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.primaryStatus.member
	if id == "" {
		return w.primary.ID
	}
	if w.primaryStatus.target = r.Target; !r.Planned {
		w.primaryStatus = primaryStatus{}
	}
	return id
}

// leaseHolders returns the hosts whose leases the revocation must end: all lease holders, or in a switchover only those with
// leases that don't name the target.
func (w *groupMonitor) leaseHolders(r Revocation) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Planned && r.Target != "" {
		return w.grants.Unrestricted(w.host.now(), r.Target)
	}
	return w.grants.Outstanding(w.host.now())
}

// lastGrantEnd returns when the last granted lease ends.
func (w *groupMonitor) lastGrantEnd() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grants.LastEnd()
}

// revokeHostLease asks a host to give back its lease, or in a switchover to restrict it to the target, and records
// that it did. The lease stays outstanding if the host does not answer.
func (w *groupMonitor) revokeHostLease(ctx context.Context, host string, r Revocation) {
	h := w.host
	if host == h.settings.Host {
		w.group.revokeLease(r)
	} else {
		addr, ok := h.fleet.Address(host)
		if !ok || h.ports.Peers == nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, leaseRevokeTimeout)
		defer cancel()
		if err := h.ports.Peers.RevokeLease(call, addr, r); err != nil {
			w.log("lease_not_returned", "peer", host, "member", r.Member, "err", err)
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Planned {
		w.grants.Restrict(host, r.Target)
		return
	}
	w.grants.Revoke(host)
}
