package pool

import (
	"slices"
	"sort"
	"time"
)

// Enqueue queues a statement. It is given a connection by an order of a later call.
func (p *Pool) Enqueue(n Request) *Waiter {
	w := &Waiter{n}
	i := sort.Search(len(p.waiters), func(i int) bool {
		o := p.waiters[i].Request
		if o.Priority != n.Priority {
			return o.Priority > n.Priority
		}
		return o.ArrivedAt.After(n.ArrivedAt)
	})
	p.waiters = slices.Insert(p.waiters, i, w)
	return w
}

// CancelWait takes a statement out of the queue that waits no longer.
func (p *Pool) CancelWait(w *Waiter) {
	p.waiters = slices.DeleteFunc(p.waiters, func(o *Waiter) bool { return o == w })
}

// Waiting returns how many statements wait.
func (p *Pool) Waiting() int { return len(p.waiters) }

// lifoThreshold is how long the oldest statement may have waited until newer ones of
// its priority go first. While work comes faster than it is done, all would wait
// until most are too late; newest first, those that are served are served in time.
// The users' shortest latency objective is twice as long.
const lifoThreshold = 50 * time.Millisecond

// servingOrder returns the waiters in the order in which they are served: by
// priority, then by arrival, or the other way round while a queue stands.
func (p *Pool) servingOrder(now time.Time) []*Waiter {
	out := slices.Clone(p.waiters)
	for from := 0; from < len(out); {
		to := from + 1
		for to < len(out) && out[to].Request.Priority == out[from].Request.Priority {
			to++
		}
		if now.Sub(out[from].Request.ArrivedAt) > lifoThreshold {
			slices.Reverse(out[from:to])
		}
		from = to
	}
	return out
}
