package admission

import (
	"container/heap"
	"time"
)

// serviceOrder holds what the order of service depends on apart from the statements.
type serviceOrder struct {
	now time.Time
	// cost is the slot time that each statement is assumed to use, in seconds.
	cost float64
	// overloaded is true if statements have waited without a break for so long that classes are served in turns.
	overloaded bool
}

// cursor lists the statements of a flow in the order of service.
type cursor[T any] struct {
	flow *flow[T]
	// tag is the tag of the account, and classTags those of its classes, once the listed statements have been served.
	tag       float64
	classTags [classCount]float64
	// listed is the number of statements listed, by class, and left that of the others.
	listed [classCount]int
	left   int
	// overloaded is true if classes are served in turns.
	overloaded  bool
	newestFirst [classCount]bool
}

func newCursor[T any](f *flow[T], o serviceOrder) cursor[T] {
	c := cursor[T]{flow: f, tag: f.account.tag, classTags: f.account.classTags, left: f.len(), overloaded: o.overloaded}
	for class := range classCount {
		c.newestFirst[class] = f.newestFirst(class, o.now)
		c.overloaded = c.overloaded || c.newestFirst[class]
	}
	return c
}

// at returns the next statement of a class, or nil if there is none.
func (c *cursor[T]) at(class Class) *Entry[T] {
	list, n := c.flow.entries[class], c.listed[class]
	switch {
	case n == len(list):
		return nil
	case c.newestFirst[class]:
		return list[len(list)-1-n]
	}
	return list[n]
}

// next returns the next statement. Without overload the order is that of arrival.
func (c *cursor[T]) next(o serviceOrder) *Entry[T] {
	e, other := c.at(AnyMember), c.at(PrimaryOnly)
	if e == nil || other != nil && c.precedes(other, e) {
		e = other
	}
	class := e.Request.Class
	c.listed[class]++
	c.left--
	c.classTags[class] += o.cost
	c.tag += o.cost / c.flow.account.weight
	return e
}

// precedes reports whether the first statement for the primary is served before the first one for any member.
func (c *cursor[T]) precedes(primary, other *Entry[T]) bool {
	if c.overloaded {
		return c.classTags[PrimaryOnly] <= c.classTags[AnyMember]
	}
	return primary.Request.ArrivedAt.Before(other.Request.ArrivedAt)
}

// cursorHeap is a heap of cursors, the one with the statement to be served next first.
type cursorHeap[T any] []cursor[T]

func (h cursorHeap[T]) Len() int           { return len(h) }
func (h cursorHeap[T]) Less(i, j int) bool { return before(h[i].tag, h[j].tag, h[i].flow, h[j].flow) }
func (h cursorHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

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
func (h *cursorHeap[T]) consider(flows flowHeap[T], index int, o serviceOrder) {
	if index < len(flows) {
		heap.Push(h, newCursor(flows[index], o))
	}
}
