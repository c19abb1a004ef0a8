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
	// waiting is the number of statements that wait, by rank, and total their sum.
	waiting [meteredRanks]int
	total   int
	// served is the number of services and busy the time during which statements waited. Both decay
	// with rateWindow.
	served, busy float64 // busy in seconds
	// updatedAt is when busy was last brought up to date. servedAt is when a waiting statement was
	// last served, or when one began to wait after a time without any.
	updatedAt, servedAt time.Time
	// sequence numbers the reports.
	sequence uint64
}

// Enqueued records that a statement has begun to wait.
func (m *Meter) Enqueued(rank int, now time.Time) {
	m.update(now)
	if m.total == 0 {
		m.updatedAt, m.servedAt = now, now
	}
	m.waiting[meteredRank(rank)]++
	m.total++
}

// Left records that a statement no longer waits. served is true if it got a connection.
func (m *Meter) Left(rank int, served bool, now time.Time) {
	m.update(now)
	if i := meteredRank(rank); m.waiting[i] > 0 {
		m.waiting[i]--
		m.total--
	}
	if served {
		m.served++
		m.servedAt = now
	}
}

// Rate returns how many waiting statements are served per second, or zero if that is not known.
func (m *Meter) Rate(now time.Time) float64 {
	m.update(now)
	if m.served < minServices || m.busy <= 0 {
		return 0
	}
	return m.served / m.busy
}

// Report returns the report for the sender of a statement of the given rank. queued is the length of
// the queue. The sequence is zero, and there is nothing to report, if no statement has waited for
// reportTTL.
func (m *Meter) Report(rank, queued int, now time.Time) (r Report, sequence uint64) {
	m.update(now)
	if queued == 0 {
		m.waiting, m.total = [meteredRanks]int{}, 0 // in case Left was not called for a statement
	}
	if m.total == 0 && (m.updatedAt.IsZero() || now.Sub(m.updatedAt) > reportTTL) {
		return Report{}, 0
	}
	r = Report{Waiting: m.total, Rate: m.Rate(now), Rank: rank}
	if r.Rate > 0 {
		ahead := 0
		for _, n := range m.waiting[:meteredRank(rank)+1] {
			ahead += n
		}
		r.Delay = toDelay(ahead, r.Rate)
	}
	m.sequence++
	return r, m.sequence
}

// update brings busy up to date. While no statement waits, updatedAt stays at the last change.
func (m *Meter) update(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	switch {
	case m.total > 0:
		decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		m.served *= decay
		m.busy = m.busy*decay + elapsed.Seconds()
		m.updatedAt = now
		if now.Sub(m.servedAt) > maxServiceGap {
			m.served, m.busy = 0, 0
		}
	case elapsed > rateRetention:
		m.served, m.busy = 0, 0
	}
}

// meteredRank returns the index of a rank in Meter.waiting.
func meteredRank(rank int) int { return max(0, min(rank, meteredRanks-1)) }
