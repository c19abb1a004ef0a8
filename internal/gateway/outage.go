package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pearlatch/core/admission"
)

// primaryOutage returns for how long the primary has been unreachable, unknown or unconfirmed, or
// zero. g.mu must be held.
func (g *Group) primaryOutage(now time.Time) time.Duration {
	if g.lease.CoversReads(g.primaryID, now) && !g.primarySilent() {
		return 0
	}
	since := g.unverifiedSince
	if g.primaryID == "" {
		since = earlierTime(since, g.noPrimarySince)
	} else if m := g.members[g.primaryID]; m != nil {
		since = earlierTime(since, m.silentSince)
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// primarySilent reports whether the primary has failed to answer since its last answer. g.mu must be
// held.
func (g *Group) primarySilent() bool {
	m := g.members[g.primaryID]
	return m != nil && !m.silentSince.IsZero()
}

// earlierTime returns the earlier of two times. A zero time counts as unset.
func earlierTime(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// outageOutlasts estimates how much longer an outage of the primary lasts, and reports whether that is
// beyond the deadline of a statement. A statement is refused at once only in that case. When statements
// were already refused if the outage was expected to outlast the time for which they may wait for a
// connection, clients with a timeout of 1.5 s retried too soon and gave up: 0.8 % of them on a day of
// outages, and none of those whose statements waited.
func (g *Group) outageOutlasts(deadline time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	elapsed := g.primaryOutage(now)
	if elapsed < primaryReachTimeout {
		return 0, false
	}
	remaining := g.outageForecast.Remaining(elapsed)
	return remaining, remaining > deadline.Sub(now)
}

// noteOutageEnd records the length of an outage of the primary that has ended. g.mu must be held.
func (g *Group) noteOutageEnd() {
	now := g.now()
	since := g.unverifiedSince
	if g.primaryID == "" {
		since = earlierTime(since, g.noPrimarySince)
	}
	if lasted := now.Sub(since); !since.IsZero() && lasted >= primaryReachTimeout {
		g.outageForecast.Observe(lasted)
	}
	g.unverifiedSince = time.Time{}
}

// notRun returns the failure of an operation of which no effect is kept, with the time after which its caller is to retry.
func (op *operation) notRun(code Code, reason string) *Failure {
	var outage time.Duration
	if op.need.PrimaryOnly {
		outage, _ = op.group.outageOutlasts(op.deadline)
	}
	return &Failure{code, reason + ", " + op.group.bookRetry(op, outage)}
}

// bookRetry returns when the caller of a refused operation is to retry. No capacity is expected before earliest.
func (g *Group) bookRetry(op *operation, earliest time.Duration) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	remaining := op.need.ArrivedAt.Add(op.route.Timeout).Sub(now)
	ahead, rate := g.pool.Backlog(op.need, now)
	return retryAfter(g.calendars[op.need.Class()].Book(now, admission.Booking{
		Rank: op.need.Rank, Earliest: earliest, Latest: admission.LatestRetry(remaining, op.route.LatencyTarget, 0),
		Backlog: ahead, Rate: rate, Random: rand.Float64(),
	}))
}

// retryAfter formats the time after which a refused caller may retry.
func retryAfter(after time.Duration) string {
	return fmt.Sprintf("retry_after_ms=%d", after.Milliseconds())
}
