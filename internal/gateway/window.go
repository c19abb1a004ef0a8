package gateway

import "time"

// window is how many statements a host runs on a member at once. It halves when
// the member has no room and grows with statements that went well. All hosts
// share the member, and none knows what the others send: without it, statements
// that are refused and sent again fill the queue of an overloaded member, and
// keep it from answering status questions too.
type window struct {
	size   float64
	shrunk time.Time
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
)

func (w *window) limit() int {
	if w.size == 0 {
		return windowStart
	}
	return max(1, int(w.size))
}

func (w *window) shrink(now time.Time) {
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
