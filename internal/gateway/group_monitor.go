package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

const (
	// probeInterval is the pause between two questions to all members by the holder.
	probeInterval = 350 * time.Millisecond
	// controlTimeout bounds an order to a member.
	controlTimeout = 300 * time.Millisecond
	// maxSilentRounds is how many rounds a primary may leave unanswered. With
	// controlTimeout it makes about 0.6 s of silence; a connection that is refused
	// counts twice.
	maxSilentRounds = 2
	// silentProbeInterval is the pause before a primary that didn't answer is asked again.
	silentProbeInterval = 20 * time.Millisecond
	// stuckWriteTimeout is how long the replicas may receive nothing of what the primary
	// has written until it counts as cut off from them.
	stuckWriteTimeout = 600 * time.Millisecond
	// promoteCallTimeout bounds the call that orders a promotion. It is answered within
	// milliseconds, unless the answer is lost; then it is given again.
	promoteCallTimeout = 350 * time.Millisecond
	// promotionTimeout is how long a promoted member may take to lead.
	promotionTimeout = 2500 * time.Millisecond
	// promotionRetryDelay is how long a promoted member may take to lead until the order is
	// given again, since it may have been lost. The users' members take up to 1 s;
	// an order for a member that is about to lead changes nothing.
	promotionRetryDelay = 400 * time.Millisecond
	// promotionPollInterval is the pause between two looks at it.
	promotionPollInterval = 30 * time.Millisecond
)

// groupMonitor is what the holder of a duty remembers between its rounds.
type groupMonitor struct {
	*coordinator
	// roundAcquiredAt is when the duty was taken under which this round acts.
	roundAcquiredAt time.Time
	// primary is the member that led last.
	primary Member
	// silentRounds counts rounds without an answer of the primary.
	silentRounds int
	// unreceivedPosition is a position of the primary that no replica had received at
	// unreceivedSince and has not since, or zero.
	unreceivedPosition group.Position
	unreceivedSince    time.Time
	// overloadDetector says when the primary is at its limit; lastWaitCount is how many statements had waited by the last round.
	overloadDetector group.OverloadDetector
	lastWaitCount    int
	// lastHealthyProbe is when all members were last asked and all was well, or zero.
	lastHealthyProbe time.Time
	// The token is shown to the platform no sooner than at nextRaiseAt, raiseBackoff after a try that failed.
	nextRaiseAt  time.Time
	raiseBackoff time.Duration
}

// monitor looks after the group while this host holds the duty.
func (d *coordinator) monitor(ctx context.Context) {
	w := &groupMonitor{coordinator: d}
	for w.awaitRound(ctx) {
		d.group.setCoordinated(d.mayPromote())
		w.roundAcquiredAt = d.acquiredTime()
		if !d.mayPromote() {
			w.silentRounds, w.unreceivedPosition, w.primary = 0, group.Position{}, Member{}
			continue
		}
		w.runRound(ctx)
	}
}

// awaitRound waits for the next round, or until the host takes the duty. A primary that didn't answer is
// asked again soon. It returns false when ctx ended.
func (w *groupMonitor) awaitRound(ctx context.Context) bool {
	var due <-chan time.Time
	if w.group.isCoordinated() || w.isHeld() {
		pause := probeInterval
		if w.silentRounds > 0 && w.silentRounds < maxSilentRounds {
			pause = silentProbeInterval
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

// runRound asks all members and acts on the answers.
func (w *groupMonitor) runRound(ctx context.Context) {
	started := w.host.now()
	if w.canSkipProbe(started) {
		return
	}
	w.lastHealthyProbe = time.Time{}
	w.raiseToken(ctx)
	answers := w.probeAll(ctx)
	if w.group.adoptPrimary(answers) {
		w.actOnPrimary(ctx, answers)
		return
	}
	if w.primary.ID == "" {
		w.primary = w.group.primaryToWatch()
	}
	if w.group.heardSince(w.primary.ID, started) {
		// It serves statements, and its queue is too full for questions.
		w.silentRounds = 0
		w.notePrimaryAlive(started)
		return
	}
	quiet := silentRoundsOf(w.primary, answers)
	if quiet == 0 {
		w.notePrimaryAlive(started)
	}
	w.silentRounds += quiet
	if w.silentRounds >= maxSilentRounds && w.promotionsSettled() {
		w.log("primary_lost", "member", w.primary.ID, "rounds", w.silentRounds)
		w.failover(ctx, started, answers)
	}
}

// canSkipProbe reports whether the members need not be asked in this round, since callers' own
// statements have shown that all is well, or there are no callers.
func (w *groupMonitor) canSkipProbe(now time.Time) bool {
	if w.lastHealthyProbe.IsZero() || w.leasedPrimary() == "" {
		return false
	}
	asked := now.Sub(w.lastHealthyProbe)
	if asked <= healthyProbeInterval && w.group.healthy() {
		w.notePrimaryAlive(now.Add(-probeInterval))
		return true
	}
	return asked <= idleProbeInterval && w.group.isIdle()
}

// silentRoundsOf returns how much a round without a primary says against the one before.
func silentRoundsOf(primary Member, answers []controlResult) int {
	for _, a := range answers {
		if a.member.ID != primary.ID {
			continue
		}
		switch {
		case a.err == nil:
			return maxSilentRounds // it answers, and doesn't lead
		case isMemberFailure(a.err):
			return 0 // it lives
		case connRefusedOrReset(a.err):
			return maxSilentRounds
		}
		return 1
	}
	return maxSilentRounds // the platform no longer lists it
}

// promotionsSettled reports whether no order of an earlier holder can surprise this one. It knows of
// all that were recorded. Where the platform checks tokens, a holder that does not reach the
// store orders without a record, until it ends or its token is overtaken: an order that was
// accepted by then must have been carried out.
func (w *groupMonitor) promotionsSettled() bool {
	if !w.knowsPromotions() {
		return false
	}
	until, known := w.unrecordedPromotionsUntil()
	return !w.host.settings.PromotionTokens || known && w.host.now().Sub(until) >= acceptedPromotionDelay
}

// actOnPrimary acts on a round in which a primary answered.
func (w *groupMonitor) actOnPrimary(ctx context.Context, answers []controlResult) {
	w.silentRounds = 0
	w.primary = w.group.primaryMember()
	primary, replicas := splitPrimary(w.primary.ID, answers)
	if open := w.pendingPromotion(); open != "" && open != w.primary.ID {
		if w.pendingPromotionExpired() && !w.isReachable(open) {
			w.log("order_expired", "member", open)
			w.clearPendingPromotion()
			return
		}
		w.resumePromotion(ctx, open, primary, replicas)
		return
	}
	w.clearPendingPromotion()
	if !w.promotionsSettled() || !w.tokenCurrent() {
		return
	}
	w.recordPrimaryAnswer(primary)
	w.demoteStalePrimaries(primary, answers)
	w.releaseStaleFences(primary, replicas)
	w.updateRecord(ctx)
	stuck := w.writesStuck(primary, replicas)
	if countFailed(replicas) == 0 && !w.overloadDetector.Overloaded() && w.unreceivedPosition == (group.Position{}) {
		w.lastHealthyProbe = primary.sentAt
	}
	switch {
	case w.primary.Leaving || w.group.primaryMissingFor() > missingMemberGrace:
		w.switchOver(ctx, primary, replicas)
	case w.shouldRelieve(primary, replicas):
		w.switchOver(ctx, primary, replicas)
	case stuck && canReplacePrimary(replicas):
		w.log("primary_cut_off", "member", w.primary.ID, "position", primary.status.Received, "answers", formatResults(replicas))
		w.failover(ctx, w.host.now(), answers)
	}
}

// recordPrimaryAnswer records what the primary answered, on which leases are granted. Nobody else can
// have promoted another member, so its position is a sample.
func (w *groupMonitor) recordPrimaryAnswer(primary controlResult) {
	if !w.wasSoleHolder(primary.sentAt) {
		return // another holder may have promoted another member meanwhile
	}
	s := primaryStatus{member: primary.member.ID, term: primary.status.Term, heardAt: primary.sentAt, position: primary.status.Received}
	w.setPrimaryStatus(s)
	w.group.samplePrimary(s)
}

// demoteStalePrimaries ends the leadership of members that were replaced while they were cut off.
// They go on to answer reads from an old log until they learn of it.
func (w *groupMonitor) demoteStalePrimaries(primary controlResult, answers []controlResult) {
	for _, a := range answers {
		if a.err != nil || !a.status.IsPrimary || a.member.ID == primary.member.ID || a.status.Term >= primary.status.Term {
			continue
		}
		_, err := w.group.control(a.member, Demote{Term: primary.status.Term}, controlTimeout)
		w.log("replaced_primary_demoted", "member", a.member.ID, "term", a.status.Term, "err", err)
	}
}

// raiseToken makes the platform refuse orders of earlier holders. It comes before all else, also where no
// primary is known: a holder before that can't reach the store may still order, and what it orders would
// be carried out while this one grants leases on another member.
func (w *groupMonitor) raiseToken(ctx context.Context) {
	now := w.host.now()
	if w.tokenCurrent() || now.Before(w.nextRaiseAt) {
		return
	}
	w.mu.Lock()
	token := w.token
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	if err := w.host.ports.Promoter.RaiseToken(call, w.host.settings.Host, int64(token), w.group.name); err != nil {
		w.raiseBackoff = leadership.TokenRetryDelay(w.raiseBackoff, rand.Float64())
		w.nextRaiseAt = now.Add(w.raiseBackoff)
		w.log("token_not_raised", "token", int64(token), "again_ms", w.raiseBackoff.Milliseconds(), "err", err)
		return
	}
	w.raiseBackoff = 0
	w.noteTokenRaised(token)
}

// handleRefusedToken settles whether the duty is still ours after the platform refused its
// token: only then a higher one is to be had.
func (w *groupMonitor) handleRefusedToken(ctx context.Context) {
	if err := w.renewToken(ctx); err != nil {
		w.log("duty_doubtful", "err", err)
	}
}

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

// writesStuck reports whether the replicas have received nothing of what the primary
// wrote for too long: it waits for their acknowledgement, and so do its callers.
func (w *groupMonitor) writesStuck(primary controlResult, replicas []controlResult) bool {
	var best group.Position
	for _, r := range replicas {
		if isMemberFailure(r.err) {
			// It lives, and has no room to tell how far it is.
			return false
		}
		if r.err == nil && r.status.Received.Compare(best) > 0 {
			best = r.status.Received
		}
	}
	now := w.host.now()
	if len(replicas) == 0 {
		return false
	}
	if w.unreceivedPosition == (group.Position{}) || best.Compare(w.unreceivedPosition) >= 0 {
		w.unreceivedPosition, w.unreceivedSince = group.Position{}, now
		if primary.status.Received.Compare(best) > 0 {
			w.unreceivedPosition = primary.status.Received
		}
		return false
	}
	return now.Sub(w.unreceivedSince) > stuckWriteTimeout
}

// canReplacePrimary reports whether another member can do better than a primary that answers
// and whose writes hang. With a single replica it is the way between the two that is
// broken, and would be for the replica as well. And a replica that doesn't answer may
// come back to the primary, which is not stopped, at any moment and acknowledge what
// the successor lacks: callers would read old data from that one.
func canReplacePrimary(replicas []controlResult) bool {
	return len(replicas) >= 2 && countFailed(replicas) == 0
}

// releaseStaleFences ends fences that an earlier holder left behind.
func (w *groupMonitor) releaseStaleFences(primary controlResult, replicas []controlResult) {
	var fenced []Member
	for _, r := range replicas {
		if r.err == nil && r.status.Fenced > primary.status.Term {
			fenced = append(fenced, r.member)
		}
	}
	if len(fenced) == 0 {
		return
	}
	w.log("fences_released", "members", len(fenced))
	w.group.controlAll(fenced, Release{}, controlTimeout)
}

// countFailed counts the members without an answer.
func countFailed(answers []controlResult) int {
	n := 0
	for _, a := range answers {
		if a.err != nil {
			n++
		}
	}
	return n
}

// formatResults lists answers for a log line.
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
