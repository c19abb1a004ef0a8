package admission

import (
	"slices"
	"time"
)

const (
	// minServiceGap is how long no statement of a class may be served while some wait before its drain rate counts as
	// unknown: a primary that is lost or being replaced serves nothing, and the rate of before says nothing about when
	// it serves again. serviceGapFactor is the same as a multiple of the mean interval between services. Random
	// intervals exceed it in one of 150 cases, after which nothing is refused until the rate is known again.
	minServiceGap    = 100 * time.Millisecond
	serviceGapFactor = 5
	// reservedWork is how much work is never refused on a prediction. It keeps slots busy while no new statements
	// arrive, and is as long as an account's statements wait before newer ones overtake them.
	reservedWork = lifoThreshold
	// checkInterval is the minimum time between two examinations of the queue, each of which costs up to a microsecond
	// per ten statements.
	checkInterval = 5 * time.Millisecond
	// minDrainShare is the share of the drain rate that is left at least for statements that others overtake, since the
	// overload may end at any moment.
	minDrainShare = 0.05
	// minOverload is how long statements must have waited without a break before the rate of arrivals counts, since
	// shorter accumulations may be random. In a replay at 0.7 of the capacity, 25, 66, 1 and 1 of 16,830 operations were
	// refused with 1, 100, 250 and 500 ms.
	minOverload = 250 * time.Millisecond
	// minPredictedWait is the shortest predicted wait that is compared with the actual one. Shorter ones are within the
	// random variation of a few statements.
	minPredictedWait = 20 * time.Millisecond
	// correctionWeight is the weight of a new sample in the moving average of actual by predicted waits.
	correctionWeight = 0.2
	// emptiedEarly is the share of the predicted time within which a queue must not be empty. If it is, the rate was
	// too low.
	emptiedEarly = 0.5
)

// drain measures how fast the statements of a class are served, and how exact predictions on that basis are.
type drain struct {
	waiting int
	meter   RateMeter
	// lastRate is the rate as of servedAt, when a waiting statement was last served. The time since then does not lower
	// it: while nothing is served for a moment, more statements would be refused the longer it lasts.
	lastRate float64
	servedAt time.Time
	// waitingSince is since when statements have waited without a break.
	waitingSince time.Time
	// correction is the average of actual by predicted waits, at most one, or zero before the first one.
	correction float64
	// busyUntil is until when the queue is predicted not to be empty.
	busyUntil time.Time
}

// setWaiting sets the number of statements that wait.
func (d *drain) setWaiting(n int, now time.Time) {
	if d.waiting == 0 {
		d.waitingSince = now
	}
	d.waiting = n
	d.meter.SetActive(n > 0, now)
}

// served records that a statement was served, for which the wait was predicted at the given time unless it is zero.
func (d *drain) served(now time.Time, predicted time.Duration, at time.Time) {
	if d.rate(now) == 0 && d.lastRate > 0 {
		d.meter.Reset(now)
	}
	d.meter.Record(now)
	d.lastRate, d.servedAt = d.meter.Rate(now), now
	if predicted > 0 {
		ratio := min(1, float64(now.Sub(at))/float64(predicted))
		if d.correction == 0 {
			d.correction = 1
		}
		d.correction += correctionWeight * (ratio - d.correction)
	}
	if d.waiting > 1 {
		return
	}
	if now.Before(d.busyUntil) {
		d.meter.Reset(now)
		d.lastRate = 0
	}
	d.correction, d.busyUntil = 0, time.Time{}
}

// rate returns how many statements of the class are served per second while statements wait, or zero if that is unknown.
func (d *drain) rate(now time.Time) float64 {
	if d.lastRate == 0 || now.Sub(d.servedAt) > rateWindow {
		return 0
	}
	gap := max(minServiceGap, timeToServe(serviceGapFactor, d.lastRate))
	if since := latest(d.servedAt, d.waitingSince); d.waiting > 0 && now.Sub(since) > gap {
		return 0
	}
	return d.lastRate
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// timeToServe returns the time in which so many statements are served at the rate.
func timeToServe(ahead int, rate float64) time.Duration {
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// overload returns for how long statements of the class have waited without a break.
func (d *drain) overload(now time.Time) time.Duration { return now.Sub(d.waitingSince) }

// Rate returns how many waiting statements of the class are served per second, or zero if that is unknown.
func (q *FairQueue[T]) Rate(c Class, now time.Time) float64 { return q.drains[c].rate(now) }

// Ahead returns how many waiting statements of the class have the rank or a higher one.
func (q *FairQueue[T]) Ahead(number int, c Class) int {
	n := 0
	for _, k := range q.ranks {
		if k.number <= number {
			n += k.waiting[c]
		}
	}
	return n
}

// Hopeless returns the statements that can't be served before they stop waiting, the last in the order of service first.
// They are behind more statements of their class than are served until then. Statements that arrive later and are
// served earlier are taken into account: those of higher ranks, and those of the same rank where the newest are served
// first.
//
// It returns none while no drain rate is known, and none among the first statements of a class, up to reservedWork.
func (q *FairQueue[T]) Hopeless(now time.Time) []*Entry[T] {
	if now.Before(q.nextCheck) || !q.mayBeHopeless(now) {
		return nil
	}
	q.nextCheck = now.Add(checkInterval)
	var ahead [classCount]int
	var out []*Entry[T]
	for e := range q.All(now) {
		c := e.Request.Class
		d, rate := &q.drains[c], q.drains[c].rate(now)
		if rate == 0 || e.Request.WaitUntil.IsZero() || timeToServe(ahead[c], rate) <= reservedWork {
			ahead[c]++
			continue
		}
		newestFirst := e.flow.newestFirst(c, now)
		left := max(rate*minDrainShare, rate-q.overtaking(e.flow.rank, c, newestFirst, now))
		wait := timeToServe(ahead[c], left)
		if d.correction > 0 && !newestFirst {
			wait = time.Duration(d.correction * float64(wait))
		}
		if now.Add(wait).After(e.Request.WaitUntil) {
			out = append(out, e)
			continue
		}
		ahead[c]++
		if e.expectedWait == 0 && !newestFirst && wait > minPredictedWait {
			e.expectedWait, e.expectedAt = wait, now
		}
	}
	for _, e := range out {
		c := e.Request.Class
		q.drains[c].busyUntil = now.Add(time.Duration(emptiedEarly * float64(timeToServe(ahead[c], q.drains[c].rate(now)))))
	}
	slices.Reverse(out)
	return out
}

// mayBeHopeless reports whether a class has more work than is never refused.
func (q *FairQueue[T]) mayBeHopeless(now time.Time) bool {
	for i := range q.drains {
		d := &q.drains[i]
		if rate := d.rate(now); rate > 0 && timeToServe(d.waiting, rate) > reservedWork {
			return true
		}
	}
	return false
}

// overtaking returns how many statements arrive per second that are served before those of the rank that wait.
func (q *FairQueue[T]) overtaking(before *rank[T], c Class, newestFirst bool, now time.Time) float64 {
	sum := 0.0
	if q.drains[c].overload(now) < minOverload {
		return 0
	}
	for _, k := range q.ranks {
		if k.number < before.number || k == before && newestFirst {
			sum += k.arrivals[c].Rate(now)
		}
	}
	return sum
}
