package pool

import (
	"math/rand/v2"
	"time"
)

// Window is the number of statements that a host may run on a member at once.
// It is halved when the member has no room and grows with each successful
// statement. All hosts share the member, and none knows what the others send.
// Without the window, statements that are refused and sent again fill the queue
// of an overloaded member, and keep it from answering probes too.
//
// With many hosts, even one statement of each exceeds what the member can take.
// A host at a window of one then also backs off from the member after each
// refusal.
//
// The zero Window is ready for use. A Window is not safe for concurrent use.
type Window struct {
	size       float64
	lastShrink time.Time
	// backoff determines how long the host backs off after the next refusal at
	// a window of one. closedUntil is the end of the current backoff.
	backoff     time.Duration
	closedUntil time.Time
}

const (
	// initialWindow is a host's first window. It suits members with two or
	// three slots that a few hosts share.
	initialWindow = 3
	// maxWindow lets a single host fill half of a member's queue of 16.
	maxWindow = 8
	// minShrinkInterval is the minimum time between two halvings, since the
	// refusals of statements that ran at the same time carry the same
	// information.
	minShrinkInterval = 30 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a refusal at a window
	// of one. They are the duration of a short statement and about the time
	// that a queue of 16 takes.
	minBackoff = 8 * time.Millisecond
	maxBackoff = 128 * time.Millisecond
)

// Allows reports whether a statement may be sent now, in addition to those that
// run.
func (w *Window) Allows(running int, now time.Time) bool {
	return running < w.Limit() && !now.Before(w.closedUntil)
}

// Limit returns how many statements may run at once.
func (w *Window) Limit() int {
	if w.size == 0 {
		return initialWindow
	}
	return max(1, int(w.size))
}

// ManyHosts is the number of hosts above which refusals at a window of one
// cause a backoff. With one statement each, this many hosts fill a member's
// queue of 16, the shortest in use. Fewer hosts do not need the backoff and lose
// by it: after all hosts restart, members refuse statements only for a moment.
// Above ManyHosts, unused connections are also kept for manyHostsIdleTimeout.
const ManyHosts = 16

// Shrink records a refusal. hosts is the number of hosts that share the member.
func (w *Window) Shrink(now time.Time, hosts int) {
	if hosts > ManyHosts && w.Limit() == 1 && !now.Before(w.closedUntil) {
		w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
		// The random part keeps hosts that were refused at the same time from
		// retrying together.
		w.closedUntil = now.Add(w.backoff/2 + rand.N(w.backoff))
	}
	if now.Sub(w.lastShrink) < minShrinkInterval {
		return
	}
	w.lastShrink = now
	w.size = max(1, float64(w.Limit())/2)
}

// Grow records a successful statement.
func (w *Window) Grow() {
	if w.size == 0 {
		w.size = initialWindow
	}
	w.size = min(maxWindow, w.size+1/(4*w.size))
	w.backoff /= 2
}
