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
	// The queue is examined at most once per checkInterval, and at most once per checkIntervalPerEntry for each waiting
	// statement. An examination takes 0.1 us a statement, or 1.4 us with as many accounts as statements.
	checkInterval         = 5 * time.Millisecond
	checkIntervalPerEntry = 20 * time.Microsecond
	// minDrainShare is the share of the drain rate that is left at least for statements that others overtake, since the
	// overload may end at any moment.
	minDrainShare = 0.05
	// minOverload is how long statements must have waited without a break before the rate of arrivals counts, since
	// shorter accumulations arise by chance at 0.7 of the capacity, where nothing should be refused.
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
	q.nextCheck = now.Add(max(checkInterval, time.Duration(q.count)*checkIntervalPerEntry))
	f := newForecast(q, now)
	var out []*Entry[T]
	for e := range q.All(now) {
		if f.isHopeless(e) {
			out = append(out, e)
		}
	}
	for _, e := range out {
		c := e.Request.Class
		q.drains[c].busyUntil = now.Add(time.Duration(emptiedEarly * float64(timeToServe(f.ahead[c], f.rates[c]))))
	}
	slices.Reverse(out)
	return out
}

// forecast predicts the waits of the statements of a queue, which are passed to it in the order of service.
type forecast[T any] struct {
	queue *FairQueue[T]
	now   time.Time
	// rates are the drain rates, and ahead counts the statements that are expected to be served.
	rates [classCount]float64
	ahead [classCount]int
	// rank is the rank of the last statement. inOrder and overtaken are the rates at which statements of the rank are
	// served if they are served by arrival and newest first.
	rank               *rank[T]
	inOrder, overtaken [classCount]float64
}

func newForecast[T any](q *FairQueue[T], now time.Time) *forecast[T] {
	f := &forecast[T]{queue: q, now: now}
	for c := range classCount {
		f.rates[c] = q.drains[c].rate(now)
	}
	return f
}

// isHopeless reports whether the statement can't be served before it stops waiting.
func (f *forecast[T]) isHopeless(e *Entry[T]) bool {
	c := e.Request.Class
	if f.rates[c] == 0 || e.Request.WaitUntil.IsZero() || timeToServe(f.ahead[c], f.rates[c]) <= reservedWork {
		f.ahead[c]++
		return false
	}
	if f.rank != e.flow.rank {
		f.enterRank(e.flow.rank)
	}
	newestFirst := e.flow.newestFirst(c, f.now)
	wait := timeToServe(f.ahead[c], f.inOrder[c])
	if newestFirst {
		wait = timeToServe(f.ahead[c], f.overtaken[c])
	} else if correction := f.queue.drains[c].correction; correction > 0 {
		wait = time.Duration(correction * float64(wait))
	}
	if f.now.Add(wait).After(e.Request.WaitUntil) {
		return true
	}
	f.ahead[c]++
	if e.expectedWait == 0 && !newestFirst && wait > minPredictedWait {
		e.expectedWait, e.expectedAt = wait, f.now
	}
	return false
}

// enterRank calculates the rates that are left for the statements of a rank, after those that arrive later and are served
// before them.
func (f *forecast[T]) enterRank(entered *rank[T]) {
	f.rank = entered
	for c := range classCount {
		f.inOrder[c], f.overtaken[c] = f.rates[c], f.rates[c]
		if f.queue.drains[c].overload(f.now) < minOverload {
			continue
		}
		for _, k := range f.queue.ranks {
			arrivals := k.arrivals[c].Rate(f.now)
			if k.number < entered.number {
				f.inOrder[c] -= arrivals
			}
			if k.number <= entered.number {
				f.overtaken[c] -= arrivals
			}
		}
		f.inOrder[c] = max(f.inOrder[c], f.rates[c]*minDrainShare)
		f.overtaken[c] = max(f.overtaken[c], f.rates[c]*minDrainShare)
	}
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
