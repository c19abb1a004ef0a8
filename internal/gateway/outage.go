package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the shortest time after which a refused caller is told to come back:
	// about the time in which a queue of a member's slots empties.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds it: an outage may end before its forecast.
	maxRetryAfter = 2 * time.Second
)

// primaryOutage returns for how long the primary has been out of reach, not known, or not proven to
// lead. The group's lock is held.
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

// primarySilent reports whether the primary has not answered lately. The group's lock is held.
func (g *Group) primarySilent() bool {
	m := g.members[g.primaryID]
	return m != nil && !m.silentSince.IsZero()
}

// earlierTime returns the earlier of two times of which either may be zero.
func earlierTime(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// outageOutlasts reports whether a statement that needs the primary and has until the given time
// will not live to see it, and when its caller should come back. Where it may, it waits: callers
// with 1.5 s that were refused once the outage would outlast their wait alone came back too
// soon and gave up (0.8 in 100 of them on a day of outages, and none that waited).
func (g *Group) outageOutlasts(until time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	lasted := g.primaryOutage(now)
	if lasted < primaryReachTimeout {
		return 0, false
	}
	remaining := g.outageForecast.Remaining(lasted)
	return remaining, remaining > until.Sub(now)
}

// noteOutageEnd learns from an outage of the primary that has ended. The group's lock is held.
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

// retryAfter says when a refused caller may come back, spread by half so that callers that were
// refused together don't return together.
func retryAfter(after time.Duration) string {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after += rand.N(after/2 + 1)
	return fmt.Sprintf("retry_after_ms=%d", after.Milliseconds())
}

// outageFailure refuses a statement at once whose primary is not expected back in time.
func outageFailure(code Code, after time.Duration) *Failure {
	return &Failure{code, "the primary is not expected back in time, " + retryAfter(after)}
}
