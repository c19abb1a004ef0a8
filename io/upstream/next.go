package upstream

import (
	"time"

	"pearlatch/core/group"
)

// action is a step of the owner that needs I/O. Its implementations are takeLock,
// promote, switchOver, attach and sweep.
type action interface{ isAction() }

// nextAction returns the action that is due, or nil if there is none.
func (o *Owner) nextAction(now time.Time) action {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase >= HandingOver || now.Before(o.notBefore) {
		return nil
	}
	led, ok := group.FindPrimary(o.samples).(group.Led)
	if !ok {
		return o.nextLeaderless(now)
	}
	if o.isDown(led.Primary, now) {
		return o.nextPromote(led.Term, led.Primary)
	}
	if l := o.leadership; l == nil || l.term != led.Term || l.primary != led.Primary || l.conn != o.sampleConns[l.primary] {
		if o.unansweredSince[led.Primary].IsZero() {
			return takeLock{primary: led.Primary, term: led.Term}
		}
		return nil
	}
	if o.leaving[led.Primary] && o.hasSuccessor(led.Primary) {
		return switchOver{primary: led.Primary, term: led.Term}
	}
	if o.foreignSessions > 0 && now.Sub(o.sweptAt) >= sweepInterval {
		return sweep{}
	}
	return o.nextAttach(led, now)
}

// nextLeaderless returns the action of a group without a primary. It promotes a
// member once every member has answered a probe or failed to. o.mu must be held.
func (o *Owner) nextLeaderless(now time.Time) action {
	var highest group.Term
	for i, s := range o.samples {
		if !s.Answered() && o.unansweredSince[i].IsZero() {
			return nil
		}
		highest = max(highest, s.Status.Fence.Term)
	}
	if o.awaitsRival(now) {
		return nil
	}
	return o.nextPromote(highest, group.NoMember)
}

// awaitsRival reports whether to wait because another host may be promoting a
// member, or has promoted one that is unreachable from here. Without the wait, two
// hosts that reach different majorities would replace each other's primary forever.
// Each wait is twice as long as the one before, so that one host gets to serve. o.mu
// must be held.
func (o *Owner) awaitsRival(now time.Time) bool {
	highest := group.Fence{}
	for _, s := range o.samples {
		if s.Status.Fence.Term >= highest.Term {
			highest = s.Status.Fence
		}
	}
	if highest != o.rivalFence {
		o.rivalFence = highest
		o.rivalWaitUntil = now.Add(o.options.Group.Timing.Silence)
		if highest.Term > 0 && highest.Host != o.options.Host {
			o.rivalWaitUntil = now.Add(rivalBackoff << min(o.rivalWaits, maxRivalDoublings))
			o.rivalWaits++
		}
	}
	return now.Before(o.rivalWaitUntil)
}

// nextPromote returns a promotion if a majority of the members, not counting the
// suspect, answers probes. o.mu must be held.
func (o *Owner) nextPromote(highest group.Term, suspect int) action {
	present := 0
	for i := range o.samples {
		if i != suspect && o.samples[i].Answered() && o.unansweredSince[i].IsZero() {
			present++
		}
	}
	if present < group.Majority(len(o.samples)) {
		return nil
	}
	return promote{highest: highest, suspect: suspect}
}

// isDown reports whether the member refuses connections, or has answered no probe for
// longer than Timing.Silence. o.mu must be held.
func (o *Owner) isDown(i int, now time.Time) bool {
	if o.unansweredSince[i].IsZero() {
		return false
	}
	return o.connRefused[i] && !o.options.Unsafe.SilenceOnly || now.Sub(o.samples[i].ReceivedAt) > o.options.Group.Timing.Silence
}

// hasSuccessor reports whether a member that follows the primary and is not leaving
// could replace it. o.mu must be held.
func (o *Owner) hasSuccessor(primary int) bool {
	for i, s := range o.samples {
		if i != primary && !o.leaving[i] && o.unansweredSince[i].IsZero() && group.Follows(s.Status, o.samples[primary].Status) {
			return true
		}
	}
	return false
}

// nextAttach returns an attach for a replica that does not follow the primary, at
// most one per attachTimeout and replica. o.mu must be held.
func (o *Owner) nextAttach(led group.Led, now time.Time) action {
	p := o.samples[led.Primary].Status
	for i, s := range o.samples {
		if i == led.Primary || !s.Answered() || !o.unansweredSince[i].IsZero() || now.Before(o.attachAfter[i]) {
			continue
		}
		if s.Status.InRecovery && !group.Follows(s.Status, p) {
			o.attachAfter[i] = now.Add(attachTimeout)
			return attach{member: i, primary: led.Primary, fence: p.Fence}
		}
	}
	return nil
}
