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
	// heard is when the primary was last asked something that it answered.
	heard time.Time
	// position is what its log held then, or zero.
	position group.Position
	// handsOver is true while a planned change of primary is under way.
	handsOver bool
}

// GrantLease grants a host a lease on the primary of a group, if this one holds the duty
// and knows the primary.
func (h *Host) GrantLease(r LeaseRequest) LeaseReply {
	h.mu.Lock()
	d := h.duties[r.Group]
	h.mu.Unlock()
	if d == nil {
		return LeaseReply{}
	}
	d.group.hear(r)
	return d.answer(r)
}

// answer answers a question for a lease, or for a position alone.
func (d *coordinator) answer(r LeaseRequest) LeaseReply {
	if !r.SampleOnly {
		return d.grant(r.Host)
	}
	position, sampled := d.group.sample()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held || d.standing.member == "" || d.standing.handsOver {
		return LeaseReply{}
	}
	return LeaseReply{Member: d.standing.member, Term: d.standing.term, Position: position, Age: d.host.now().Sub(sampled)}
}

func (d *coordinator) grant(host string) LeaseReply {
	now := d.host.now()
	heard, alive := d.group.heardFrom(d.primaryLed())
	position, sampled := d.group.sample()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held || d.standing.member == "" {
		return LeaseReply{}
	}
	s := d.standing
	if alive && heard.After(s.heard) {
		s.heard = heard
	}
	granted := d.grants.Grant(host, now, leadership.Standing{Heard: s.heard, DutyEnds: d.certainUntil(), HandsOver: s.handsOver})
	if granted == 0 && now.Sub(d.woken) >= probeInterval {
		// The primary may not have been asked for long, since nobody needed it.
		d.woken = now
		d.group.wakeHolder()
	}
	return LeaseReply{Granted: granted, WritesOnly: s.handsOver, Member: s.member, Term: s.term, Position: position, Age: now.Sub(sampled)}
}

// primaryLed returns the member that leases are granted on, or the empty string.
func (d *coordinator) primaryLed() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.standing.member
}

// stands records that the primary answered a question that was asked at the given time.
func (d *coordinator) stands(s primaryStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.standing = s
}

// alive records a sign of life of a primary that did not tell its position.
func (d *coordinator) alive(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.standing.member != "" && at.After(d.standing.heard) {
		d.standing.heard, d.standing.position = at, group.Position{}
	}
}

// recall ends all leases on the primary, so that another member can be promoted: it grants
// no more, asks the hosts to give back what they hold, and waits until the leases of those
// that don't answer have run out. It returns false if this host may no longer order.
func (w *groupMonitor) recall(ctx context.Context, planned bool) bool {
	started := w.host.now()
	id := w.endStanding(planned)
	var wait sync.WaitGroup
	for _, host := range w.holders(planned) {
		wait.Go(func() { w.recallFrom(ctx, host, id, planned) })
	}
	wait.Wait()
	for left := w.holders(planned); len(left) > 0; left = w.holders(planned) {
		ends := w.grantsEnd().Sub(w.host.now())
		w.log("leases_awaited", "member", id, "hosts", left, "for_ms", ends.Milliseconds())
		if !pause.For(ctx, ends) {
			return false
		}
	}
	// Leases of the holder before may still hold, if it was an earlier process of this host, or lost its
	// entry early.
	if !pause.For(ctx, w.outwaited().Sub(w.host.now())) {
		return false
	}
	w.group.meters.recall(w.group.name, w.host.now().Sub(started))
	return w.holds()
}

// endStanding makes sure that no lease on the primary is granted any more, or in a planned
// change none but for writes. It returns the primary.
func (w *groupMonitor) endStanding(planned bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.standing.member
	if id == "" {
		return w.primary.ID
	}
	if w.standing.handsOver = planned; !planned {
		w.standing = primaryStatus{}
	}
	return id
}

// holders returns the hosts whose leases a change of primary must wait for: all of them, or
// in a planned one those that may read.
func (w *groupMonitor) holders(planned bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if planned {
		return w.grants.Reading(w.host.now())
	}
	return w.grants.Outstanding(w.host.now())
}

// grantsEnd returns when the last lease ends.
func (w *groupMonitor) grantsEnd() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grants.End()
}

func (w *groupMonitor) recallFrom(ctx context.Context, host, member string, planned bool) {
	h := w.host
	if host == h.settings.Host {
		w.group.endLease(member, planned)
	} else {
		addr, ok := h.fleet.Address(host)
		if !ok || h.ports.Peers == nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, leaseRevokeTimeout)
		defer cancel()
		if err := h.ports.Peers.EndLease(call, addr, w.group.name, member, planned); err != nil {
			w.log("lease_not_returned", "peer", host, "member", member, "err", err)
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if planned {
		w.grants.Handed(host)
		return
	}
	w.grants.Returned(host)
}
