package admission

import (
	"container/heap"
	"iter"
	"slices"
	"sort"
	"time"
)

// rank holds the waiting statements of a rank.
type rank[T any] struct {
	number int
	// flows is a heap of the accounts that wait, with the next one to serve on top. byAccount holds them by name.
	flows     flowHeap[T]
	byAccount map[string]*flow[T]
	// waiting counts the statements by class, and arrivals measures how many arrive per second while others wait.
	waiting  [classCount]int
	arrivals [classCount]RateMeter
	// waitingSince is since when the rank has had no service while statements waited, or zero.
	waitingSince time.Time
}

// flow holds the waiting statements of an account in a rank.
type flow[T any] struct {
	rank    *rank[T]
	account *account
	// entries holds the statements by class, in the order of arrival.
	entries [classCount][]*Entry[T]
	// index is the position in rank.flows.
	index int
}

// oldest returns when the oldest statement arrived.
func (f *flow[T]) oldest() time.Time {
	var at time.Time
	for _, list := range f.entries {
		if len(list) > 0 && (at.IsZero() || list[0].Request.ArrivedAt.Before(at)) {
			at = list[0].Request.ArrivedAt
		}
	}
	return at
}

// newestFirst reports whether newer statements of the class are served before older ones.
func (f *flow[T]) newestFirst(c Class, now time.Time) bool {
	return len(f.entries[c]) > 0 && now.Sub(f.entries[c][0].Request.ArrivedAt) > lifoThreshold
}

// add adds a statement of the account.
func (k *rank[T]) add(e *Entry[T], a *account) {
	f := k.byAccount[e.Request.Account]
	if f == nil {
		f = &flow[T]{rank: k, account: a}
		k.byAccount[e.Request.Account] = f
	}
	e.flow = f
	list := &f.entries[e.Request.Class]
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].Request.ArrivedAt.After(e.Request.ArrivedAt) })
	*list = slices.Insert(*list, i, e)
	if f.len() == 1 {
		heap.Push(&k.flows, f)
	} else if i == 0 {
		heap.Fix(&k.flows, f.index)
	}
}

// remove removes a statement.
func (k *rank[T]) remove(e *Entry[T]) {
	f := e.flow
	e.flow = nil
	list := f.entries[e.Request.Class]
	i := sort.Search(len(list), func(i int) bool { return !list[i].Request.ArrivedAt.Before(e.Request.ArrivedAt) })
	for list[i] != e {
		i++
	}
	f.entries[e.Request.Class] = slices.Delete(list, i, i+1)
	if f.len() == 0 {
		heap.Remove(&k.flows, f.index)
		delete(k.byAccount, e.Request.Account)
	} else if i == 0 {
		heap.Fix(&k.flows, f.index)
	}
}

// len returns the number of statements.
func (f *flow[T]) len() int { return len(f.entries[AnyMember]) + len(f.entries[PrimaryOnly]) }

// fix restores the order after the account's tag has changed.
func (k *rank[T]) fix(account string) {
	if f := k.byAccount[account]; f != nil {
		heap.Fix(&k.flows, f.index)
	}
}

// arrive counts an arrival.
func (k *rank[T]) arrive(c Class, now time.Time) {
	k.waiting[c]++
	k.arrivals[c].SetActive(true, now)
	k.arrivals[c].Record(now)
}

// leave counts a statement that waits no longer.
func (k *rank[T]) leave(c Class, now time.Time) {
	k.waiting[c]--
	k.arrivals[c].SetActive(k.waiting[c] > 0, now)
}

// all returns the statements in the order of service.
func (k *rank[T]) all(o serviceOrder) iter.Seq[*Entry[T]] {
	return func(yield func(*Entry[T]) bool) {
		// A flow further down in the heap is only considered once its parent is, so that the first statements are found
		// without a look at every account.
		var next cursorHeap[T]
		next.consider(k.flows, 0, o)
		for len(next) > 0 {
			c := &next[0]
			first, index := c.left == c.flow.len(), c.flow.index
			if !yield(c.next(o)) {
				return
			}
			if c.left == 0 {
				heap.Pop(&next)
			} else {
				heap.Fix(&next, 0)
			}
			if first {
				next.consider(k.flows, 2*index+1, o)
				next.consider(k.flows, 2*index+2, o)
			}
		}
	}
}

// flowHeap is a heap of flows, the one to be served next first.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	return before(h[i].account.tag, h[j].account.tag, h[i], h[j])
}
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// before reports whether flow f is served before g: the one with the lower tag, or that with the oldest statement.
func before[T any](fTag, gTag float64, f, g *flow[T]) bool {
	if fTag != gTag {
		return fTag < gTag
	}
	return f.oldest().Before(g.oldest())
}
