package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the shortest retry-after. It is about the time in which the queue for a
	// member's slots empties.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest retry-after, since an outage may end earlier than estimated.
	maxRetryAfter = 2 * time.Second
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

// retryAfter formats the time after which a refused client may retry. It adds up to half of the time
// at random, so that clients that were refused together do not return together.
func retryAfter(after time.Duration) string {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after += rand.N(after/2 + 1)
	return fmt.Sprintf("retry_after_ms=%d", after.Milliseconds())
}

// outageFailure returns the refusal of a statement whose primary is not expected back before its
// deadline.
func outageFailure(code Code, after time.Duration) *Failure {
	return &Failure{code, "the primary is not expected back in time, " + retryAfter(after)}
}
