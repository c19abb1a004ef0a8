package gateway

import (
	"math/rand/v2"
	"time"
)

// window is how many statements a host runs on a member at once. It halves when
// the member has no room and grows with statements that went well. All hosts
// share the member, and none knows what the others send: without it, statements
// that are refused and sent again fill the queue of an overloaded member, and
// keep it from answering status questions too.
//
// With many hosts even one statement of each is more than the member takes. Below a
// window of one, a host leaves the member alone for a while after each refusal.
type window struct {
	size   float64
	shrunk time.Time
	// pause is how long the member is left alone after the next refusal, and
	// closedUntil the end of the present pause.
	pause       time.Duration
	closedUntil time.Time
}

const (
	// windowStart is a host's window at first: the slots of the users' members are
	// two and three, which a few hosts share.
	windowStart = 3
	// windowMax lets a single host fill a member's queue of 16 halfway.
	windowMax = 8
	// windowPause is the least time between two halvings: statements that were
	// under way together tell the same news.
	windowPause = 30 * time.Millisecond
	// shortestPause and longestPause bound the pause after a refusal at a window of one: a
	// short statement's time, and about what a queue of 16 takes.
	shortestPause = 8 * time.Millisecond
	longestPause  = 128 * time.Millisecond
)

// open reports whether a statement may be sent now beside those that run.
func (w *window) open(running int, now time.Time) bool {
	return running < w.limit() && !now.Before(w.closedUntil)
}

func (w *window) limit() int {
	if w.size == 0 {
		return windowStart
	}
	return max(1, int(w.size))
}

// crowd is how many hosts make a crowd: with one statement each they fill the shortest
// queue of the users' members. Fewer hosts have no need to pause, and lose by it: after a
// restart of all, members refuse for a moment only.
const crowd = 16

// shrink takes a refusal into account. hosts is how many share the member.
func (w *window) shrink(now time.Time, hosts int) {
	if hosts > crowd && w.limit() == 1 && !now.Before(w.closedUntil) {
		w.pause = min(longestPause, max(shortestPause, 2*w.pause))
		// Hosts that were refused at the same moment must not come back together.
		w.closedUntil = now.Add(w.pause/2 + rand.N(w.pause))
	}
	if now.Sub(w.shrunk) < windowPause {
		return
	}
	w.shrunk = now
	w.size = max(1, float64(w.limit())/2)
}

func (w *window) grow() {
	if w.size == 0 {
		w.size = windowStart
	}
	w.size = min(windowMax, w.size+1/(4*w.size))
	w.pause /= 2
}

// allowance is how many connections above its equal share a host may open to a
// member. It grows slowly while statements wait, and is lost when the member has
// none left, so that hosts with few callers lend to hosts with many.
type allowance struct {
	extra  int
	growAt time.Time
}

const (
	// allowancePause is the pause between two steps of growth.
	allowancePause = 40 * time.Millisecond
	// allowancePenalty is how long a host keeps to its share after the member had
	// no connection left: others' extra connections are closed by then.
	allowancePenalty = 1500 * time.Millisecond
)

func (a *allowance) adjust(now time.Time, wanted bool) {
	if !wanted || now.Before(a.growAt) {
		return
	}
	a.extra++
	a.growAt = now.Add(allowancePause)
}

func (a *allowance) full(now time.Time) {
	a.extra = 0
	a.growAt = now.Add(allowancePenalty)
}
