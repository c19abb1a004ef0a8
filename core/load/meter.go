package load

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the measured rate, counted only while statements wait. It
	// covers tens of services of a group whose members run 5 slots for 50 ms each.
	rateWindow = 500 * time.Millisecond
	// minServices is how many services must have been counted before a rate is reported.
	minServices = 4
	// maxServiceGap is how long statements may wait without a service until the rate is unknown: the
	// primary may be being replaced, and the rate after that is another one. Statements take up to 50
	// ms.
	maxServiceGap = 250 * time.Millisecond
	// rateRetention is how long a rate is kept while no statement waits.
	rateRetention = 2 * time.Second
	// meteredRanks is the number of ranks that are counted apart. Less important ones count as the
	// last.
	meteredRanks = 4
)

// Meter measures how fast a host serves the statements that wait for a connection to the members of
// a group. The zero value is ready for use. A Meter is not safe for concurrent use.
type Meter struct {
	// all is the queue of all statements, and primary that of the ones that need the primary.
	all, primary drain
	// sequence numbers the reports.
	sequence uint64
}

// Enqueued records that a statement has begun to wait.
func (m *Meter) Enqueued(k Kind, now time.Time) {
	m.all.enqueued(k.Rank, now)
	if k.NeedsPrimary {
		m.primary.enqueued(k.Rank, now)
	}
}

// Left records that a statement no longer waits. served is true if it got a connection.
func (m *Meter) Left(k Kind, served bool, now time.Time) {
	m.all.left(k.Rank, served, now)
	if k.NeedsPrimary {
		m.primary.left(k.Rank, served, now)
	}
}

// Report returns the report for the sender of a statement of the given kind. queued is the length of
// the queue. The sequence is zero, and there is nothing to report, if no statement has waited for
// reportTTL.
func (m *Meter) Report(k Kind, queued int, now time.Time) (r Report, sequence uint64) {
	if queued == 0 {
		m.all.empty(now) // in case Left was not called for a statement
		m.primary.empty(now)
	}
	if m.all.total == 0 && (m.all.updatedAt.IsZero() || now.Sub(m.all.updatedAt) > reportTTL) {
		return Report{}, 0
	}
	r = Report{Waiting: m.all.total, Rate: m.all.rate(now), Kind: k}
	if k.NeedsPrimary {
		r.Delay = m.primary.delay(k.Rank, now)
	} else {
		r.Delay = m.all.delay(k.Rank, now)
	}
	m.sequence++
	return r, m.sequence
}

// drain measures how fast the statements of a queue are served.
type drain struct {
	// waiting is the number of statements that wait, by rank, and total their sum.
	waiting [meteredRanks]int
	total   int
	// served is the number of services and busy the time in seconds during which statements waited.
	// Both decay with rateWindow.
	served, busy float64
	// updatedAt is when busy was last brought up to date. servedAt is when a waiting statement was
	// last served, or when one began to wait after a time without any.
	updatedAt, servedAt time.Time
}

func (d *drain) enqueued(rank int, now time.Time) {
	d.update(now)
	if d.total == 0 {
		d.updatedAt, d.servedAt = now, now
	}
	d.waiting[meteredRank(rank)]++
	d.total++
}

func (d *drain) left(rank int, served bool, now time.Time) {
	d.update(now)
	if i := meteredRank(rank); d.waiting[i] > 0 {
		d.waiting[i]--
		d.total--
	}
	if served {
		d.served++
		d.servedAt = now
	}
}

// empty records that no statement waits.
func (d *drain) empty(now time.Time) {
	d.update(now)
	d.waiting, d.total = [meteredRanks]int{}, 0
}

// rate returns how many statements are served per second, or zero if that is not known.
func (d *drain) rate(now time.Time) float64 {
	d.update(now)
	if d.served < minServices || d.busy <= 0 {
		return 0
	}
	return d.served / d.busy
}

// delay returns the time in which the statements of the rank and of more important ranks are
// served, or zero if that is not known.
func (d *drain) delay(rank int, now time.Time) time.Duration {
	rate, ahead := d.rate(now), 0
	if rate <= 0 {
		return 0
	}
	for _, n := range d.waiting[:meteredRank(rank)+1] {
		ahead += n
	}
	return toDelay(ahead, rate)
}

// update brings busy up to date. While no statement waits, updatedAt stays at the last change.
func (d *drain) update(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	switch {
	case d.total > 0:
		decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		d.served *= decay
		d.busy = d.busy*decay + elapsed.Seconds()
		d.updatedAt = now
		if now.Sub(d.servedAt) > maxServiceGap {
			d.served, d.busy = 0, 0
		}
	case elapsed > rateRetention:
		d.served, d.busy = 0, 0
	}
}

// meteredRank returns the index of a rank in drain.waiting.
func meteredRank(rank int) int { return max(0, min(rank, meteredRanks-1)) }
