package pool

import (
	"slices"
	"sort"
	"time"
)

// Enqueue adds a statement to the queue. An Assign action of a later call hands
// it a connection.
func (p *Pool) Enqueue(r ConnRequest, now time.Time) *Waiter {
	w := &Waiter{r}
	p.drain.SetActive(true, now)
	i := sort.Search(len(p.waiters), func(i int) bool {
		o := p.waiters[i].Request
		if o.Rank != r.Rank {
			return o.Rank > r.Rank
		}
		return o.ArrivedAt.After(r.ArrivedAt)
	})
	p.waiters = slices.Insert(p.waiters, i, w)
	return w
}

// Dequeue removes a statement from the queue, because it was served or has
// stopped waiting.
func (p *Pool) Dequeue(w *Waiter, now time.Time) {
	p.waiters = slices.DeleteFunc(p.waiters, func(o *Waiter) bool { return o == w })
	p.drain.SetActive(len(p.waiters) > 0, now)
}

// DrainRate returns how many waiting statements are served per second, or zero if that is unknown.
func (p *Pool) DrainRate(now time.Time) float64 { return p.drain.Rate(now) }

// Waiting returns the number of waiting statements.
func (p *Pool) Waiting() int { return len(p.waiters) }

// lifoThreshold is how long the oldest statement of a rank may have waited
// before newer ones are served first. While statements arrive faster than they
// are served, serving the oldest first would make all of them wait until most
// miss their deadlines. If the newest are served first, those that are served
// meet theirs. The threshold is half of 100 ms, the shortest latency objective.
const lifoThreshold = 50 * time.Millisecond

// servingOrder returns the waiters in the order in which they are served: by
// rank, then by arrival. Within a rank whose oldest statement has waited longer
// than lifoThreshold, the order of arrival is reversed.
func (p *Pool) servingOrder(now time.Time) []*Waiter {
	out := slices.Clone(p.waiters)
	for from := 0; from < len(out); {
		to := from + 1
		for to < len(out) && out[to].Request.Rank == out[from].Request.Rank {
			to++
		}
		if now.Sub(out[from].Request.ArrivedAt) > lifoThreshold {
			slices.Reverse(out[from:to])
		}
		from = to
	}
	return out
}
