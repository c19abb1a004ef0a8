package admission

import (
	"time"

	"pearlatch/core/config"
)

// priorities lists the priorities in the order in which they are served.
var priorities = [...]config.Priority{config.High, config.Normal, config.Low}

// reverseInterval is how many picks go by until one starts at the lowest priority, so
// that work of high priority cannot starve the rest for ever.
const reverseInterval = 16

// Queue holds waiting requests in order of priority and arrival. The zero value
// is not usable; call NewQueue. It is not safe for concurrent use.
type Queue[T any] struct {
	limit int
	picks int
	lists [len(priorities)][]*Waiter[T]
}

// Waiter is a request in a queue.
type Waiter[T any] struct {
	// Value is the request.
	Value T
	// Arrived is when it was queued.
	Arrived time.Time

	priority config.Priority
	queued   bool
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue[T any](limit int) *Queue[T] { return &Queue[T]{limit: limit} }

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int {
	n := 0
	for _, l := range q.lists {
		n += len(l)
	}
	return n
}

// Ahead returns how many requests would be served before a new one of the given
// priority.
func (q *Queue[T]) Ahead(p config.Priority) int {
	n := 0
	for i, each := range priorities {
		n += len(q.lists[i])
		if each == p {
			break
		}
	}
	return n
}

// Push queues a request. It returns false when the queue is full.
func (q *Queue[T]) Push(v T, p config.Priority, now time.Time) (*Waiter[T], bool) {
	if q.Len() >= q.limit {
		return nil, false
	}
	w := &Waiter[T]{Value: v, Arrived: now, priority: p, queued: true}
	i := listIndex(p)
	q.lists[i] = append(q.lists[i], w)
	return w, true
}

// Remove takes a request out. It returns false when the request was picked
// before.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if !w.queued {
		return false
	}
	i := listIndex(w.priority)
	for j, each := range q.lists[i] {
		if each == w {
			q.removeAt(i, j)
			return true
		}
	}
	return false
}

// Pick removes and returns the first request that fits, or nil when none does.
func (q *Queue[T]) Pick(fits func(T) bool) *Waiter[T] {
	q.picks++
	for k := range q.lists {
		i := k
		if q.picks%reverseInterval == 0 {
			i = len(q.lists) - 1 - k
		}
		for j, w := range q.lists[i] {
			if fits(w.Value) {
				q.removeAt(i, j)
				return w
			}
		}
	}
	return nil
}

func (q *Queue[T]) removeAt(i, j int) {
	w := q.lists[i][j]
	w.queued = false
	q.lists[i] = append(q.lists[i][:j], q.lists[i][j+1:]...)
}

func listIndex(p config.Priority) int {
	for i, each := range priorities {
		if each == p {
			return i
		}
	}
	return len(priorities) - 1
}
