package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
	"pearlatch/core/outage"
)

const (
	// probeInterval is the time between two rounds of probes by the coordinator.
	probeInterval = 350 * time.Millisecond
	// controlTimeout bounds a control command.
	controlTimeout = 300 * time.Millisecond
	// maxSilentRounds is after how many rounds without an answer the primary counts as failed. With
	// controlTimeout these take about 0.6 s. A refused connection counts as two rounds; see
	// silentRoundsOf for all cases.
	maxSilentRounds = 2
	// silentProbeInterval is the time until a primary that did not answer is probed again.
	silentProbeInterval = 20 * time.Millisecond
	// promoteCallTimeout bounds the call that requests a promotion. The call is answered within
	// milliseconds unless the answer is lost; the request is then repeated.
	promoteCallTimeout = 350 * time.Millisecond
	// promotionTimeout is how long a promoted member may take to become the primary.
	promotionTimeout = 2500 * time.Millisecond
	// promotionRetryDelay is how long after a promotion request the request is repeated if the member
	// is not yet the primary, since the request may have been lost. The users' members take up to 1 s.
	// Repeating the request for a member that is about to become the primary has no effect.
	promotionRetryDelay = 400 * time.Millisecond
	// promotionPollInterval is the time between two probes of a promoted member that is not yet the
	// primary.
	promotionPollInterval = 30 * time.Millisecond
)

// groupMonitor probes the members of a group and acts on the answers while this host is the group's
// coordinator. Its fields keep state between rounds.
type groupMonitor struct {
	*coordinator
	// roundAcquiredAt is when the host acquired the coordinator role under which the current round
	// acts.
	roundAcquiredAt time.Time
	// primary is the last known primary.
	primary Member
	// handOverAttempts counts the attempts to finish a change of primary by a switchover.
	handOverAttempts int
	// reinstatedAt is when a promotion of the primary to end fences was last requested.
	reinstatedAt time.Time
	// silentRounds counts rounds without an answer from the primary.
	silentRounds int
	stuckWrites  group.StuckWriteDetector
	// overloadDetector detects an overloaded primary.
	overloadDetector group.OverloadDetector
	// interruptions estimates how long a switchover interrupts service. roundStartedAt is when the last
	// round started.
	interruptions  outage.Estimator
	roundStartedAt time.Time
	// lastHealthyProbe is when all members were last probed without finding a fault, or zero.
	lastHealthyProbe time.Time
	// After a failed attempt, the fencing token is raised at the platform no sooner than at
	// nextRaiseAt, which is raiseBackoff later.
	nextRaiseAt  time.Time
	raiseBackoff time.Duration
}

// monitor runs probe rounds while this host is the coordinator, until ctx ends.
func (d *coordinator) monitor(ctx context.Context) {
	w := &groupMonitor{coordinator: d}
	for w.awaitRound(ctx) {
		d.group.setCoordinated(d.mayPromote())
		w.roundAcquiredAt = d.acquiredTime()
		if !d.mayPromote() {
			w.silentRounds, w.primary = 0, Member{}
			w.stuckWrites.Reset()
			continue
		}
		w.runRound(ctx)
	}
}

// awaitRound waits until the next round is due or the monitor is woken, such as when the host acquires
// the role. A primary that did not answer is probed again after silentProbeInterval. It returns false
// when ctx ends.
func (w *groupMonitor) awaitRound(ctx context.Context) bool {
	var due <-chan time.Time
	if w.group.isCoordinated() || w.isHeld() {
		pause := probeInterval
		if w.overloadDetector.Overloaded() {
			// Rounds in which replicas don't answer take up to controlTimeout.
			pause = max(probeInterval-w.host.now().Sub(w.roundStartedAt), silentProbeInterval)
		}
		if w.silentRounds > 0 && w.silentRounds < maxSilentRounds {
			pause = silentProbeInterval
		} else if at, known := w.settledAt(); known {
			// Leases are granted from then on, so the round is not delayed beyond that time.
			if left := at.Sub(w.host.now()); left > 0 {
				pause = min(pause, left)
			}
		}
		timer := time.NewTimer(pause)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-w.group.probeSignal:
		w.lastHealthyProbe = time.Time{}
	case <-due:
	}
	return true
}

// runRound probes all members and acts on the answers.
func (w *groupMonitor) runRound(ctx context.Context) {
	started := w.host.now()
	w.roundStartedAt = started
	if w.canSkipProbe(started) {
		return
	}
	w.lastHealthyProbe = time.Time{}
	w.raiseToken(ctx)
	w.awaitOwnEntry(ctx)
	answers := w.probeAll(ctx)
	if w.group.adoptPrimary(answers) {
		w.actOnPrimary(ctx, answers)
		return
	}
	if w.primary.ID == "" {
		w.primary = w.group.primaryToWatch()
	}
	if position, heard := w.group.heardSince(w.primary.ID, started); heard {
		// The primary answers statements, and its queue is too full for probes.
		w.silentRounds = 0
		w.notePrimaryAlive(started)
		w.relieveOccupiedPrimary(ctx, position, answers)
		return
	}
	silent := silentRoundsOf(w.primary, answers)
	if silent == 0 {
		w.notePrimaryAlive(started)
	}
	w.silentRounds += silent
	if w.silentRounds >= maxSilentRounds && w.promotionsSettled() {
		w.log("primary_lost", "member", w.primary.ID, "rounds", w.silentRounds)
		w.failover(ctx, started, answers)
	}
}

// canSkipProbe reports whether this round needs no probes, since callers' statements have shown that
// the group is healthy, or the group is idle.
func (w *groupMonitor) canSkipProbe(now time.Time) bool {
	if w.lastHealthyProbe.IsZero() || w.leasedPrimary() == "" {
		return false
	}
	elapsed := now.Sub(w.lastHealthyProbe)
	if answered, ok := w.group.healthySince(); ok && elapsed <= healthyProbeInterval {
		w.notePrimaryAlive(earlierTime(answered, now.Add(-probeInterval)))
		return true
	}
	return elapsed <= idleProbeInterval && w.group.isIdle()
}

// silentRoundsOf returns how much a round in which no primary was found adds to silentRounds: 0 if the
// last primary answered with a failure, so that it is alive; maxSilentRounds if it answered as a
// replica, refused the connection, or is no longer listed; and 1 otherwise.
func silentRoundsOf(primary Member, answers []controlResult) int {
	for _, a := range answers {
		if a.member.ID != primary.ID {
			continue
		}
		switch {
		case a.err == nil:
			return maxSilentRounds // it answers as a replica
		case isMemberFailure(a.err):
			return 0 // it is alive
		case connRefused(a.err):
			return maxSilentRounds
		}
		return 1 // also if it reset the connection, as members do over their limit: a process that has ended refuses the next one
	}
	return maxSilentRounds // the platform no longer lists it
}

// promotionsSettled reports whether no promotion requested by an earlier coordinator can still take
// effect unknown to this one, which knows all recorded ones. Where the platform checks fencing tokens,
// a coordinator that can't reach the store requests promotions without a record, until its process
// ends or the platform has seen a higher token. A request accepted before then has been carried out
// after leadership.PromotionDelay. The answers of the members may show earlier that none is pending.
func (w *groupMonitor) promotionsSettled() bool {
	if !w.knowsPromotions() {
		return false
	}
	at, known := w.settledAt()
	return !w.host.settings.PromotionTokens || known && !w.host.now().Before(at)
}

// actOnPrimary handles a round in which a primary answered.
func (w *groupMonitor) actOnPrimary(ctx context.Context, answers []controlResult) {
	w.silentRounds = 0
	w.primary = w.group.primaryMember()
	primary, replicas := splitPrimary(w.primary.ID, answers)
	if pending := w.pendingPromotion(); pending != "" && pending != w.primary.ID {
		if w.pendingPromotionExpired() && !w.isReachable(pending) {
			w.log("order_expired", "member", pending)
			w.clearPendingPromotion()
			return
		}
		w.resumePromotion(ctx, pending, primary, replicas)
		return
	}
	w.clearPendingPromotion()
	w.checkPendingPromotions(primary, replicas)
	if !w.promotionsSettled() || !w.tokenCurrent() {
		return
	}
	if !w.hiddenPrimaryRuledOut(ctx, primary, replicas) {
		return
	}
	w.recordPrimaryAnswer(primary)
	w.demoteStalePrimaries(primary, answers)
	if w.finishChange(ctx, primary, replicas) {
		return
	}
	w.updateRecord(ctx)
	stuck := w.writesStuck(primary, replicas)
	if countFailed(replicas) == 0 && !w.overloadDetector.Overloaded() && !w.stuckWrites.Waiting() {
		w.lastHealthyProbe = primary.sentAt
	}
	switch {
	case w.primary.Leaving || w.group.primaryMissingFor() > missingMemberGrace:
		w.switchOver(ctx, primary, replicas)
	case w.detectOverload(primary, replicas):
		w.relieve(ctx, primary, replicas)
	case stuck && canReplacePrimary(replicas):
		w.log("primary_cut_off", "member", w.primary.ID, "position", primary.status.Received, "answers", formatResults(replicas))
		w.failover(ctx, w.host.now(), answers)
	}
}

// recordPrimaryAnswer records the primary's answer as the basis for granting leases, and its position
// as a sample. It ignores the answer if another host may have been the coordinator at the time.
func (w *groupMonitor) recordPrimaryAnswer(primary controlResult) {
	if !w.wasSoleHolder(primary.sentAt) {
		return // another coordinator may have promoted another member in the meantime
	}
	s := primaryStatus{member: primary.member.ID, term: primary.status.Term, heardAt: primary.sentAt, position: primary.status.Received}
	w.setPrimaryStatus(s)
	w.group.samplePrimary(s)
}

// demoteStalePrimaries demotes members that were replaced while they were partitioned. They answer
// reads from an outdated log until they learn of the new term.
func (w *groupMonitor) demoteStalePrimaries(primary controlResult, answers []controlResult) {
	for _, a := range answers {
		if a.err != nil || !a.status.IsPrimary || a.member.ID == primary.member.ID || a.status.Term >= primary.status.Term {
			continue
		}
		_, err := w.group.control(a.member, Demote{Term: primary.status.Term}, controlTimeout)
		w.log("replaced_primary_demoted", "member", a.member.ID, "term", a.status.Term, "err", err)
	}
}

// raiseToken makes the platform refuse promotion requests of earlier coordinators. It comes first in a
// round, even if no primary is known: an earlier coordinator that can't reach the store may still
// request a promotion, which would take effect while this coordinator grants leases on another member.
func (w *groupMonitor) raiseToken(ctx context.Context) {
	now := w.host.now()
	if w.tokenCurrent() || now.Before(w.nextRaiseAt) {
		return
	}
	w.mu.Lock()
	token := w.token
	w.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	if err := w.host.ports.Promoter.RaiseToken(callCtx, w.host.settings.Host, int64(token), w.group.name); err != nil {
		w.raiseBackoff = leadership.TokenRetryDelay(w.raiseBackoff, rand.Float64())
		w.nextRaiseAt = now.Add(w.raiseBackoff)
		w.log("token_not_raised", "token", int64(token), "again_ms", w.raiseBackoff.Milliseconds(), "err", err)
		return
	}
	w.raiseBackoff = 0
	w.noteTokenRaised(token)
}

// handleRefusedToken verifies that this host is still the coordinator after the platform refused its
// token. Only the coordinator can obtain a higher one.
func (w *groupMonitor) handleRefusedToken(ctx context.Context) {
	if err := w.renewToken(ctx); err != nil {
		w.log("duty_doubtful", "err", err)
	}
}

// splitPrimary separates the primary's answer from those of the other members. It returns the zero
// controlResult if there is none.
func splitPrimary(primary string, answers []controlResult) (controlResult, []controlResult) {
	var p controlResult
	var rest []controlResult
	for _, a := range answers {
		if a.member.ID == primary {
			p = a
			continue
		}
		rest = append(rest, a)
	}
	return p, rest
}

// writesStuck reports whether the replicas have not received what the primary wrote for longer than
// a group.StuckWriteDetector allows. The primary then waits for their acknowledgement, and so do its callers.
func (w *groupMonitor) writesStuck(primary controlResult, replicas []controlResult) bool {
	var received []group.Position
	for _, r := range replicas {
		if isMemberFailure(r.err) {
			// It is alive but too busy to report its position.
			return false
		}
		if r.err == nil {
			received = append(received, r.status.Received)
		}
	}
	return len(replicas) > 0 && w.stuckWrites.Observe(primary.status.Received, received, w.host.now())
}

// canReplacePrimary reports whether another member can do better than a primary that answers but whose
// writes hang. With a single replica it is the connection between the two that fails, which would fail
// for that replica as the primary too. And a replica that does not answer may at any moment resume
// replication from the old primary, which keeps running, and acknowledge writes that the successor
// lacks. Callers would then read stale data from the successor.
func canReplacePrimary(replicas []controlResult) bool {
	return len(replicas) >= 2 && countFailed(replicas) == 0
}

// countFailed returns the number of results with an error.
func countFailed(answers []controlResult) int {
	n := 0
	for _, a := range answers {
		if a.err != nil {
			n++
		}
	}
	return n
}

// formatResults formats answers for a log line.
func formatResults(answers []controlResult) []string {
	out := make([]string, len(answers))
	for i, a := range answers {
		out[i] = a.member.ID + " " + a.status.Received.String()
		if a.err != nil {
			out[i] = a.member.ID + " " + a.err.Error()
		}
	}
	return out
}
