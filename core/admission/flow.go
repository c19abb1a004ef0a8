package admission

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
	"sort"
	"time"
)

// rank holds the waiting statements of a rank.
type rank[T any] struct {
	number int
	// flows is a heap of the accounts that wait, the one to be served next first. byAccount holds the same by name.
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
	// entries are ordered by arrival.
	entries []*Entry[T]
	// index is the position in rank.flows.
	index int
}

// newestFirst reports whether newer statements are served before older ones.
func (f *flow[T]) newestFirst(now time.Time) bool {
	return now.Sub(f.entries[0].Request.ArrivedAt) > lifoThreshold
}

// at returns the statement that is served after n others of the flow.
func (f *flow[T]) at(n int, newestFirst bool) *Entry[T] {
	if newestFirst {
		n = len(f.entries) - 1 - n
	}
	return f.entries[n]
}

// add adds a statement of the account.
func (k *rank[T]) add(e *Entry[T], a *account) {
	f := k.byAccount[e.Request.Account]
	if f == nil {
		f = &flow[T]{rank: k, account: a}
		k.byAccount[e.Request.Account] = f
	}
	e.flow = f
	i := sort.Search(len(f.entries), func(i int) bool { return f.entries[i].Request.ArrivedAt.After(e.Request.ArrivedAt) })
	f.entries = slices.Insert(f.entries, i, e)
	if len(f.entries) == 1 {
		heap.Push(&k.flows, f)
	} else if i == 0 {
		heap.Fix(&k.flows, f.index)
	}
}

// remove removes a statement.
func (k *rank[T]) remove(e *Entry[T]) {
	f := e.flow
	e.flow = nil
	i := sort.Search(len(f.entries), func(i int) bool { return !f.entries[i].Request.ArrivedAt.Before(e.Request.ArrivedAt) })
	for f.entries[i] != e {
		i++
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	if len(f.entries) == 0 {
		heap.Remove(&k.flows, f.index)
		delete(k.byAccount, e.Request.Account)
	} else if i == 0 {
		heap.Fix(&k.flows, f.index)
	}
}

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

// all returns the statements in the order of service, on the assumption that each uses cost seconds of slot time.
func (k *rank[T]) all(now time.Time, cost float64) iter.Seq[*Entry[T]] {
	return func(yield func(*Entry[T]) bool) {
		if len(k.flows) == 1 {
			f := k.flows[0]
			newestFirst := f.newestFirst(now)
			for n := range f.entries {
				if !yield(f.at(n, newestFirst)) {
					return
				}
			}
			return
		}
		// A flow further down in the heap is only considered once its parent is, so that the first statements are found
		// without a look at every account.
		var next cursorHeap[T]
		next.consider(k.flows, 0, now)
		for len(next) > 0 {
			c := &next[0]
			if !yield(c.flow.at(c.served, c.newestFirst)) {
				return
			}
			if c.served == 0 {
				i := c.flow.index
				next.consider(k.flows, 2*i+1, now)
				next.consider(k.flows, 2*i+2, now)
			}
			next.advance(cost)
		}
	}
}

// flowHeap is a heap of flows, the one to be served next first.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	return compareTags(h[i].account.tag, h[j].account.tag, h[i], h[j]) < 0
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

// compareTags compares flows by tag, then by their oldest statements.
func compareTags[T any](a, b float64, f, g *flow[T]) int {
	if c := cmp.Compare(a, b); c != 0 {
		return c
	}
	return f.entries[0].Request.ArrivedAt.Compare(g.entries[0].Request.ArrivedAt)
}

// cursor is the position in a flow up to which its statements were listed.
type cursor[T any] struct {
	flow *flow[T]
	// tag is the tag of the account once the served statements have been served.
	tag         float64
	served      int
	newestFirst bool
}

// cursorHeap is a heap of cursors, the one with the statement to be served next first.
type cursorHeap[T any] []cursor[T]

func (h cursorHeap[T]) Len() int { return len(h) }
func (h cursorHeap[T]) Less(i, j int) bool {
	return compareTags(h[i].tag, h[j].tag, h[i].flow, h[j].flow) < 0
}
func (h cursorHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *cursorHeap[T]) Push(x any) { *h = append(*h, x.(cursor[T])) }

// Pop implements heap.Interface.
func (h *cursorHeap[T]) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}

// consider adds the flow with the given index, if there is one.
func (h *cursorHeap[T]) consider(flows flowHeap[T], index int, now time.Time) {
	if index < len(flows) {
		f := flows[index]
		heap.Push(h, cursor[T]{flow: f, tag: f.account.tag, newestFirst: f.newestFirst(now)})
	}
}

// advance moves the first cursor past a statement that takes cost seconds of slot time.
func (h *cursorHeap[T]) advance(cost float64) {
	c := &(*h)[0]
	if c.served++; c.served == len(c.flow.entries) {
		heap.Pop(h)
		return
	}
	c.tag += cost / c.flow.account.weight
	heap.Fix(h, 0)
}
