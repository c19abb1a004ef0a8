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
	// taken is when the duty was taken under which this round acts.
	taken time.Time
	// primary is the member that led last.
	primary Member
	// silent counts rounds without an answer of the primary.
	silent int
	// written is a position of the primary that no replica had received at
	// writtenAt and has not since, or zero.
	written   group.Position
	writtenAt time.Time
	// relief says when the primary is at its limit; waits is how many statements had waited by the last round.
	relief group.Relief
	waits  int
	// asked is when all members were last asked and all was well, or zero.
	asked time.Time
	// The token is shown to the platform no sooner than at raiseAt, raisePause after a try that failed.
	raiseAt    time.Time
	raisePause time.Duration
}

// watch looks after the group while this host holds the duty.
func (d *coordinator) watch(ctx context.Context) {
	w := &groupMonitor{coordinator: d}
	for w.wait(ctx) {
		d.group.hold(d.holds())
		w.taken = d.takenAt()
		if !d.holds() {
			w.silent, w.written, w.primary = 0, group.Position{}, Member{}
			continue
		}
		w.round(ctx)
	}
}

// wait waits for the next round, or until the host takes the duty. A primary that didn't answer is
// asked again soon. It returns false when ctx ended.
func (w *groupMonitor) wait(ctx context.Context) bool {
	var due <-chan time.Time
	if w.group.holds() || w.isHeld() {
		pause := probeInterval
		if w.silent > 0 && w.silent < maxSilentRounds {
			pause = silentProbeInterval
		}
		timer := time.NewTimer(pause)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-w.group.alarm:
		w.asked = time.Time{}
	case <-due:
	}
	return true
}

// round asks all members and acts on the answers.
func (w *groupMonitor) round(ctx context.Context) {
	started := w.host.now()
	if w.spared(started) {
		return
	}
	w.asked = time.Time{}
	w.raise(ctx)
	answers := w.probeAll(ctx)
	if w.group.adopt(answers) {
		w.led(ctx, answers)
		return
	}
	if w.primary.ID == "" {
		w.primary = w.group.primaryToWatch()
	}
	if w.group.heardSince(w.primary.ID, started) {
		// It serves statements, and its queue is too full for questions.
		w.silent = 0
		w.alive(started)
		return
	}
	quiet := silentRoundsOf(w.primary, answers)
	if quiet == 0 {
		w.alive(started)
	}
	w.silent += quiet
	if w.silent >= maxSilentRounds && w.settled() {
		w.log("primary_lost", "member", w.primary.ID, "rounds", w.silent)
		w.failover(ctx, started, answers)
	}
}

// spared reports whether the members need not be asked in this round, since callers' own
// statements have shown that all is well, or there are no callers.
func (w *groupMonitor) spared(now time.Time) bool {
	if w.asked.IsZero() || w.primaryLed() == "" {
		return false
	}
	asked := now.Sub(w.asked)
	if asked <= healthyProbeInterval && w.group.calm() {
		w.alive(now.Add(-probeInterval))
		return true
	}
	return asked <= idleProbeInterval && w.group.unused()
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

// settled reports whether no order of an earlier holder can surprise this one. It knows of
// all that were recorded. Where the platform checks tokens, a holder that does not reach the
// store orders without a record, until it ends or its token is overtaken: an order that was
// accepted by then must have been carried out.
func (w *groupMonitor) settled() bool {
	if !w.knowsOrders() {
		return false
	}
	until, known := w.unrecordedUntil()
	return !w.host.settings.PromotionTokens || known && w.host.now().Sub(until) >= acceptedPromotionDelay
}

// led acts on a round in which a primary answered.
func (w *groupMonitor) led(ctx context.Context, answers []controlResult) {
	w.silent = 0
	w.primary = w.group.leaderMember()
	primary, replicas := splitPrimary(w.primary.ID, answers)
	if open := w.openOrder(); open != "" && open != w.primary.ID {
		if w.orderExpired() && !w.answers(open) {
			w.log("order_expired", "member", open)
			w.settledOrder()
			return
		}
		w.finishOrder(ctx, open, primary, replicas)
		return
	}
	w.settledOrder()
	if !w.settled() || !w.current() {
		return
	}
	w.stand(primary)
	w.demoteReplaced(primary, answers)
	w.releaseLeftovers(primary, replicas)
	w.keepRecord(ctx)
	stuck := w.stuck(primary, replicas)
	if countFailed(replicas) == 0 && !w.relief.Doubtful() && w.written == (group.Position{}) {
		w.asked = primary.asked
	}
	switch {
	case w.primary.Leaving || w.group.primaryMissing() > missingMemberGrace:
		w.handOver(ctx, primary, replicas)
	case w.relieves(primary, replicas):
		w.handOver(ctx, primary, replicas)
	case stuck && canReplacePrimary(replicas):
		w.log("primary_cut_off", "member", w.primary.ID, "position", primary.status.Received, "answers", formatResults(replicas))
		w.failover(ctx, w.host.now(), answers)
	}
}

// stand records what the primary answered, on which leases are granted. Nobody else can
// have promoted another member, so its position is a sample.
func (w *groupMonitor) stand(primary controlResult) {
	if !w.certain(primary.asked) {
		return // another holder may have promoted another member meanwhile
	}
	s := primaryStatus{member: primary.member.ID, term: primary.status.Term, heard: primary.asked, position: primary.status.Received}
	w.stands(s)
	w.group.ledAt(s)
}

// demoteReplaced ends the leadership of members that were replaced while they were cut off.
// They go on to answer reads from an old log until they learn of it.
func (w *groupMonitor) demoteReplaced(primary controlResult, answers []controlResult) {
	for _, a := range answers {
		if a.err != nil || !a.status.Leads || a.member.ID == primary.member.ID || a.status.Term >= primary.status.Term {
			continue
		}
		_, err := w.group.command(a.member, Demote{Term: primary.status.Term}, controlTimeout)
		w.log("replaced_primary_demoted", "member", a.member.ID, "term", a.status.Term, "err", err)
	}
}

// raise makes the platform refuse orders of earlier holders. It comes before all else, also where no
// primary is known: a holder before that can't reach the store may still order, and what it orders would
// be carried out while this one grants leases on another member.
func (w *groupMonitor) raise(ctx context.Context) {
	now := w.host.now()
	if w.current() || now.Before(w.raiseAt) {
		return
	}
	w.mu.Lock()
	token := w.token
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	if err := w.host.ports.Promoter.Raise(call, w.host.settings.Host, int64(token), w.group.name); err != nil {
		w.raisePause = leadership.RaisePause(w.raisePause, rand.Float64())
		w.raiseAt = now.Add(w.raisePause)
		w.log("token_not_raised", "token", int64(token), "again_ms", w.raisePause.Milliseconds(), "err", err)
		return
	}
	w.raisePause = 0
	w.acknowledged(token)
}

// refused settles whether the duty is still ours after the platform refused its
// token: only then a higher one is to be had.
func (w *groupMonitor) refused(ctx context.Context) {
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

// stuck reports whether the replicas have received nothing of what the primary
// wrote for too long: it waits for their acknowledgement, and so do its callers.
func (w *groupMonitor) stuck(primary controlResult, replicas []controlResult) bool {
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
	if w.written == (group.Position{}) || best.Compare(w.written) >= 0 {
		w.written, w.writtenAt = group.Position{}, now
		if primary.status.Received.Compare(best) > 0 {
			w.written = primary.status.Received
		}
		return false
	}
	return now.Sub(w.writtenAt) > stuckWriteTimeout
}

// canReplacePrimary reports whether another member can do better than a primary that answers
// and whose writes hang. With a single replica it is the way between the two that is
// broken, and would be for the replica as well. And a replica that doesn't answer may
// come back to the primary, which is not stopped, at any moment and acknowledge what
// the successor lacks: callers would read old data from that one.
func canReplacePrimary(replicas []controlResult) bool {
	return len(replicas) >= 2 && countFailed(replicas) == 0
}

// releaseLeftovers ends fences that an earlier holder left behind.
func (w *groupMonitor) releaseLeftovers(primary controlResult, replicas []controlResult) {
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
	w.group.orderAll(fenced, Release{}, controlTimeout)
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
