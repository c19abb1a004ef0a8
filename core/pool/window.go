package pool

import (
	"math/rand/v2"
	"time"
)

// Window is how many statements a host runs on a member at once. It halves when
// the member has no room and grows with statements that went well. All hosts
// share the member, and none knows what the others send: without it, statements
// that are refused and sent again fill the queue of an overloaded member, and
// keep it from answering status questions too.
//
// With many hosts even one statement of each is more than the member takes. Below a
// window of one, a host leaves the member alone for a while after each refusal.
//
// The zero Window is ready for use.
type Window struct {
	size       float64
	lastShrink time.Time
	// backoff is how long the member is left alone after the next refusal, and
	// closedUntil the end of the present backoff.
	backoff     time.Duration
	closedUntil time.Time
}

const (
	// initialWindow is a host's window at first: the slots of the users' members are
	// two and three, which a few hosts share.
	initialWindow = 3
	// maxWindow lets a single host fill a member's queue of 16 halfway.
	maxWindow = 8
	// minShrinkInterval is the least time between two halvings: statements that were
	// under way together tell the same news.
	minShrinkInterval = 30 * time.Millisecond
	// minBackoff and longestPause bound the pause after a refusal at a window of one: a
	// short statement's time, and about what a queue of 16 takes.
	minBackoff = 8 * time.Millisecond
	maxBackoff = 128 * time.Millisecond
)

// Allows reports whether a statement may be sent now beside those that run.
func (w *Window) Allows(running int, now time.Time) bool {
	return running < w.Limit() && !now.Before(w.closedUntil)
}

// Limit returns how many statements may run.
func (w *Window) Limit() int {
	if w.size == 0 {
		return initialWindow
	}
	return max(1, int(w.size))
}

// ManyHosts is how many hosts make a crowd: with one statement each they fill the shortest
// queue of the users' members. Fewer hosts have no need to pause, and lose by it: after a
// restart of all, members refuse for a moment only.
const ManyHosts = 16

// Shrink takes a refusal into account. hosts is how many share the member.
func (w *Window) Shrink(now time.Time, hosts int) {
	if hosts > ManyHosts && w.Limit() == 1 && !now.Before(w.closedUntil) {
		w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
		// Hosts that were refused at the same moment must not come back together.
		w.closedUntil = now.Add(w.backoff/2 + rand.N(w.backoff))
	}
	if now.Sub(w.lastShrink) < minShrinkInterval {
		return
	}
	w.lastShrink = now
	w.size = max(1, float64(w.Limit())/2)
}

// Grow takes a statement into account that went well.
func (w *Window) Grow() {
	if w.size == 0 {
		w.size = initialWindow
	}
	w.size = min(maxWindow, w.size+1/(4*w.size))
	w.backoff /= 2
}
