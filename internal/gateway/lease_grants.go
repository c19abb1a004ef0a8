package gateway

import (
	"context"
	"sync"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
	"pearlatch/internal/pause"
)

// leaseRevokeTimeout is how long a host may take to give a lease back until it is left to run
// out: a few round trips within a region.
const leaseRevokeTimeout = 150 * time.Millisecond

// primaryStatus is what the holder of a duty knows of the primary. It is empty while the primary
// is being replaced.
type primaryStatus struct {
	member string
	term   group.Term
	// heardAt is when the primary was last asked something that it answered.
	heardAt time.Time
	// position is what its log held then, or zero.
	position group.Position
	// inSwitchover is true while a planned change of primary is under way.
	inSwitchover bool
}

// GrantLease grants a host a lease on the primary of a group, if this one holds the duty
// and knows the primary.
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

// answerLeaseRequest answers a question for a lease, or for a position alone.
func (d *coordinator) answerLeaseRequest(r LeaseRequest) LeaseReply {
	if !r.SampleOnly {
		return d.grantLease(r.Host)
	}
	position, sampled := d.group.newestSample()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held || d.primaryStatus.member == "" || d.primaryStatus.inSwitchover {
		return LeaseReply{}
	}
	return LeaseReply{Member: d.primaryStatus.member, Term: d.primaryStatus.term, Position: position, Age: d.host.now().Sub(sampled)}
}

func (d *coordinator) grantLease(host string) LeaseReply {
	now := d.host.now()
	heard, alive := d.group.lastHeard(d.leasedPrimary())
	position, sampled := d.group.newestSample()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held || d.primaryStatus.member == "" {
		return LeaseReply{}
	}
	s := d.primaryStatus
	if alive && heard.After(s.heardAt) {
		s.heardAt = heard
	}
	granted := d.grants.Grant(host, now, leadership.GrantLimits{LastReply: s.heardAt, DutyUntil: d.soleHolderUntil(), InSwitchover: s.inSwitchover})
	if granted == 0 && now.Sub(d.lastWokenAt) >= probeInterval {
		// The primary may not have been asked for long, since nobody needed it.
		d.lastWokenAt = now
		d.group.wakeCoordinator()
	}
	return LeaseReply{Granted: granted, WritesOnly: s.inSwitchover, Member: s.member, Term: s.term, Position: position, Age: now.Sub(sampled)}
}

// leasedPrimary returns the member that leases are granted on, or the empty string.
func (d *coordinator) leasedPrimary() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primaryStatus.member
}

// setPrimaryStatus records that the primary answered a question that was asked at the given time.
func (d *coordinator) setPrimaryStatus(s primaryStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.primaryStatus = s
}

// notePrimaryAlive records a sign of life of a primary that did not tell its position.
func (d *coordinator) notePrimaryAlive(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primaryStatus.member != "" && at.After(d.primaryStatus.heardAt) {
		d.primaryStatus.heardAt, d.primaryStatus.position = at, group.Position{}
	}
}

// revokeLeases ends all leases on the primary, so that another member can be promoted: it grants
// no more, asks the hosts to give back what they hold, and waits until the leases of those
// that don't answer have run out. It returns false if this host may no longer order.
func (w *groupMonitor) revokeLeases(ctx context.Context, planned bool) bool {
	started := w.host.now()
	id := w.stopLeaseGrants(planned)
	var wait sync.WaitGroup
	for _, host := range w.leaseHolders(planned) {
		wait.Go(func() { w.revokeHostLease(ctx, host, id, planned) })
	}
	wait.Wait()
	for left := w.leaseHolders(planned); len(left) > 0; left = w.leaseHolders(planned) {
		ends := w.lastGrantEnd().Sub(w.host.now())
		w.log("leases_awaited", "member", id, "hosts", left, "for_ms", ends.Milliseconds())
		if !pause.For(ctx, ends) {
			return false
		}
	}
	// Leases of the holder before may still hold, if it was an earlier process of this host, or lost its
	// entry early.
	if !pause.For(ctx, w.predecessorLeasesEnd().Sub(w.host.now())) {
		return false
	}
	w.group.metrics.leaseRevocation(w.group.name, w.host.now().Sub(started))
	return w.mayPromote()
}

// stopLeaseGrants makes sure that no lease on the primary is granted any more, or in a planned
// change none but for writes. It returns the primary.
func (w *groupMonitor) stopLeaseGrants(planned bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.primaryStatus.member
	if id == "" {
		return w.primary.ID
	}
	if w.primaryStatus.inSwitchover = planned; !planned {
		w.primaryStatus = primaryStatus{}
	}
	return id
}

// leaseHolders returns the hosts whose leases a change of primary must wait for: all of them, or
// in a planned one those that may read.
func (w *groupMonitor) leaseHolders(planned bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if planned {
		return w.grants.OutstandingFull(w.host.now())
	}
	return w.grants.Outstanding(w.host.now())
}

// lastGrantEnd returns when the last lease ends.
func (w *groupMonitor) lastGrantEnd() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grants.LastEnd()
}

func (w *groupMonitor) revokeHostLease(ctx context.Context, host, member string, planned bool) {
	h := w.host
	if host == h.settings.Host {
		w.group.revokeLease(member, planned)
	} else {
		addr, ok := h.fleet.Address(host)
		if !ok || h.ports.Peers == nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, leaseRevokeTimeout)
		defer cancel()
		if err := h.ports.Peers.RevokeLease(call, addr, w.group.name, member, planned); err != nil {
			w.log("lease_not_returned", "peer", host, "member", member, "err", err)
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if planned {
		w.grants.Downgrade(host)
		return
	}
	w.grants.Release(host)
}
