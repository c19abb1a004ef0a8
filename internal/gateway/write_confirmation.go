package gateway

import (
	"context"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
	"pearlatch/internal/pause"
)

// confirmRetryInterval is the pause before members that lack a write are probed again: a few round trips between availability
// zones.
const confirmRetryInterval = 5 * time.Millisecond

// confirmWrite reports whether a write that the member has acknowledged, up to the position, is certainly kept. It waits for the
// proof, see leadership.WriteProof, until the deadline of the statement.
func (g *Group) confirmWrite(id string, written group.Position, deadline time.Time) bool {
	acknowledged := g.now()
	ctx, cancel := context.WithTimeout(context.Background(), max(deadline.Sub(acknowledged), 2*primaryCheckTimeout))
	defer cancel()
	for written.Term > 0 && ctx.Err() == nil {
		var c leadership.Confirmation
		switch proof := g.writeProof(id, written.Term, acknowledged).(type) {
		case leadership.ProvenByLease:
			c = leadership.Confirmed
		case leadership.ProvenByTarget:
			c = g.confirmByTarget(ctx, proof.Target, written, acknowledged)
		case leadership.ProvenByAll:
			c = g.confirmByAll(ctx, id, written, acknowledged)
		}
		if c != leadership.Unconfirmed {
			return c == leadership.Confirmed
		}
		pause.For(ctx, confirmRetryInterval)
	}
	return false
}

// writeProof returns what proves a write that the member acknowledged in the term by the given time.
func (g *Group) writeProof(id string, term group.Term, acknowledged time.Time) leadership.WriteProof {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if proof := g.lease.WriteProof(id, term, acknowledged, now); proof != (leadership.ProvenByAll{}) {
		return proof
	}
	return g.formerLease.WriteProof(id, term, acknowledged, now)
}

// confirmByTarget asks the switchover target for a write.
func (g *Group) confirmByTarget(ctx context.Context, target string, written group.Position, acknowledged time.Time) leadership.Confirmation {
	for {
		p := g.sharedTargetProbe(target)
		select {
		case <-p.done:
		case <-ctx.Done():
			return leadership.Unconfirmed
		}
		if p.target == target && !p.started.Before(acknowledged) {
			c := leadership.ConfirmByTarget(written, p.answer)
			g.noteTarget(target, c == leadership.Unconfirmed, written, p.answer)
			return c
		}
	}
}

// confirmByAll asks all other members for a write.
func (g *Group) confirmByAll(ctx context.Context, id string, written group.Position, acknowledged time.Time) leadership.Confirmation {
	for {
		p := g.sharedCheck(id)
		if !p.wait(ctx) {
			return leadership.Unconfirmed
		}
		if !p.started.Before(acknowledged) {
			return leadership.ConfirmByAll(id, written, p.members, p.answers)
		}
	}
}

// targetProbe is a probe of the switchover target. Writes that need its result at the same time share one.
type targetProbe struct {
	target  string
	started time.Time
	// done is closed once answer is final.
	done   chan struct{}
	answer leadership.ProbeResult
}

// sharedTargetProbe returns the probe in progress, which may be of another target, or starts one of the given target.
func (g *Group) sharedTargetProbe(target string) *targetProbe {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targetProbe == nil {
		g.targetProbe = &targetProbe{target: target, started: g.now(), done: make(chan struct{})}
		go g.runTargetProbe(g.targetProbe)
	}
	return g.targetProbe
}

func (g *Group) runTargetProbe(p *targetProbe) {
	if m, ok := g.lookupMember(p.target); ok {
		p.answer = toProbeResults(g.controlAll([]Member{m}, Probe{}, primaryCheckTimeout))[0]
	}
	g.mu.Lock()
	g.targetProbe = nil
	g.mu.Unlock()
	close(p.done)
}

// noteTarget records whether the switchover target lacks a write that the primary has acknowledged.
func (g *Group) noteTarget(target string, late bool, written group.Position, answer leadership.ProbeResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !late && g.lateTarget == target:
		g.lateTarget = ""
	case late && g.lateTarget != target:
		g.lateTarget, g.lateWrite, g.targetLateSince = target, written, g.now()
		g.log("target_lacks_write", "member", target, "written", written, "received", answer.Received, "answered", answer.Answered)
	}
}

// maxTargetDelay is how much later than the acknowledgement a switchover target may receive a write before further writes are
// held back.
const maxTargetDelay = 20 * time.Millisecond

// handoverStalls reports whether the primary acknowledges writes that the switchover target does not receive. Writes sent now
// would probably be lost when the target leads.
func (g *Group) handoverStalls(ctx context.Context) bool {
	g.mu.Lock()
	now, target, missing := g.now(), g.lateTarget, g.lateWrite
	late := target != "" && g.lease.Target == target && now.Before(g.lease.Until) && now.Sub(g.targetLateSince) > maxTargetDelay
	g.mu.Unlock()
	return late && g.confirmByTarget(ctx, target, missing, now) == leadership.Unconfirmed
}
