package upstream

import (
	"time"

	"pearlatch/core/group"
)

// action is a change of the owner's standing that is due. Its implementations
// are takeLock, promote, switchOver, attach and sweep.
type action interface{ isAction() }

// nextAction returns the action that is due, or nil.
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

// nextLeaderless promotes once every member was heard or missed.
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

// awaitsRival reports whether another host may be in the middle of a promotion, or
// has promoted a member that is out of reach here. Two hosts that reach
// different majorities would otherwise replace each other's primary for ever:
// each waits twice as long as the last time, so that one gets to serve.
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

// isDown reports whether the member refuses connections, or has not answered for
// the time of silence.
func (o *Owner) isDown(i int, now time.Time) bool {
	if o.unansweredSince[i].IsZero() {
		return false
	}
	return o.connRefused[i] && !o.options.Unsafe.SilenceOnly || now.Sub(o.samples[i].ReceivedAt) > o.options.Group.Timing.Silence
}

// hasSuccessor reports whether a member that stays could take over from primary.
func (o *Owner) hasSuccessor(primary int) bool {
	for i, s := range o.samples {
		if i != primary && !o.leaving[i] && o.unansweredSince[i].IsZero() && group.Follows(s.Status, o.samples[primary].Status) {
			return true
		}
	}
	return false
}

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
