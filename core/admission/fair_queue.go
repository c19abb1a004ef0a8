package admission

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Class says which members may run a statement. Statements of different classes are served at different rates.
type Class uint8

// The classes.
const (
	// AnyMember statements may run on any member that holds the data they ask for.
	AnyMember Class = iota
	// PrimaryOnly statements may only run on the primary.
	PrimaryOnly
	classCount
)

const (
	// lifoThreshold is how long an account's oldest statement of a rank may have waited before newer ones are served
	// first. While statements arrive faster than they are served, serving the oldest first would make all of them wait
	// until most miss their deadlines. If the newest are served first, those that are served meet theirs. The threshold
	// is half of 100 ms, the shortest latency objective.
	lifoThreshold = 50 * time.Millisecond
	// starvationLimit is how long a rank may wait without service before its next statement goes ahead of all others.
	// Overload of up to this time does not affect rank 0 at all, and a longer one costs it one statement per rank and
	// limit.
	starvationLimit = 3 * time.Second
	// initialCost is the slot time of a statement before any was measured: a short one takes 8 to 15 ms.
	initialCost = 10 * time.Millisecond
	// costWeight is the weight of a new sample in the moving average of slot times.
	costWeight = 0.1
)

// Request describes a statement that asks for a connection.
type Request struct {
	// Account is the account that the statement runs for, or empty where clients have no accounts.
	Account string
	// Weight is the share of the account in the group. Zero counts as one.
	Weight float64
	// Rank is 0 for statements that are served first.
	Rank  int
	Class Class
	// ArrivedAt is when the statement arrived, and WaitUntil when it stops waiting, or zero if it is never hopeless.
	ArrivedAt, WaitUntil time.Time
}

// Entry is a waiting statement.
type Entry[T any] struct {
	Value   T
	Request Request

	flow *flow[T]
	// expectedWait is the wait that was predicted at expectedAt, or zero if none was.
	expectedWait time.Duration
	expectedAt   time.Time
}

// FairQueue holds the statements of a group that wait for a connection. It serves them by rank, within a rank in
// proportion to the weights of their accounts by slot time used (start-time fair queuing), and within an account by
// arrival. Once an account's oldest statement of a class has waited for longer than lifoThreshold, its classes are
// served in turns by slot time used, and that class newest first. The zero value is empty and ready for
// use. It is not safe for concurrent use.
type FairQueue[T any] struct {
	// ranks are in the order of service.
	ranks []*rank[T]
	// accounts holds the slot time of the accounts that have waited or used slots since the queue was last empty.
	accounts map[string]*account
	// virtualTime is the highest start tag of an account that was served.
	virtualTime float64
	// meanCost is the moving average of the slot time of a statement, or zero before the first one.
	meanCost time.Duration
	count    int
	drains   [classCount]drain
	// nextCheck is when Hopeless examines the queue next.
	nextCheck time.Time
}

// account is an account's use of slots.
type account struct {
	// tag is the slot time used divided by the weight, in seconds. Accounts with lower tags are served first.
	tag, weight float64
	waiting     int
	// classTags is the slot time used by class. In an overload, the class with the lower one is served first. Without
	// that, many statements that any member may run would take the slots of the primary from those that need it.
	classTags [classCount]float64
}

// Len returns the number of waiting statements.
func (q *FairQueue[T]) Len() int { return q.count }

// Waits reports whether a statement of the account waits.
func (q *FairQueue[T]) Waits(name string) bool {
	a := q.accounts[name]
	return a != nil && a.waiting > 0
}

// Push adds a statement.
func (q *FairQueue[T]) Push(v T, r Request, now time.Time) *Entry[T] {
	a := q.account(r.Account)
	if a.waiting == 0 {
		a.tag = max(a.tag, q.virtualTime)
	}
	if r.Weight > 0 {
		a.weight = r.Weight
	}
	a.waiting++
	k := q.rank(r.Rank)
	if k.waitingSince.IsZero() {
		k.waitingSince = now
	}
	e := &Entry[T]{Value: v, Request: r}
	k.add(e, a)
	q.count++
	q.drains[r.Class].setWaiting(q.drains[r.Class].waiting+1, now)
	k.arrive(r.Class, now)
	return e
}

// Remove removes a statement that has stopped waiting. It does nothing if the statement was removed before.
func (q *FairQueue[T]) Remove(e *Entry[T], now time.Time) {
	if e.flow == nil {
		return
	}
	k, a := e.flow.rank, e.flow.account
	k.remove(e)
	a.waiting--
	q.count--
	k.leave(e.Request.Class, now)
	d := &q.drains[e.Request.Class]
	d.setWaiting(d.waiting-1, now)
	if q.count == 0 {
		q.reset()
	}
}

// Served removes a statement that got a connection.
func (q *FairQueue[T]) Served(e *Entry[T], now time.Time) {
	if e.flow == nil {
		return
	}
	q.virtualTime = max(q.virtualTime, e.flow.account.tag)
	k := e.flow.rank
	if k.waitingSince = now; len(k.flows) == 1 && e.flow.len() == 1 {
		k.waitingSince = time.Time{}
	}
	if e.flow.newestFirst(e.Request.Class, now) {
		e.expectedWait = 0 // predicted for another order
	}
	q.drains[e.Request.Class].served(now, e.expectedWait, e.expectedAt)
	q.Remove(e, now)
}

// Charge records slot time that a statement of the account has used, whether or not they waited. An account's use
// while no statement waits does not count against it later.
func (q *FairQueue[T]) Charge(name string, c Class, used time.Duration) {
	if q.meanCost == 0 {
		q.meanCost = used
	}
	q.meanCost += time.Duration(costWeight * float64(used-q.meanCost))
	if q.count == 0 {
		return
	}
	a := q.account(name)
	if a.waiting == 0 {
		a.tag = max(a.tag, q.virtualTime)
	}
	a.tag += used.Seconds() / a.weight
	a.classTags[c] += used.Seconds()
	for _, k := range q.ranks {
		k.fix(name)
	}
}

// All returns the waiting statements in the order of service. The queue must not change meanwhile.
func (q *FairQueue[T]) All(now time.Time) iter.Seq[*Entry[T]] {
	return func(yield func(*Entry[T]) bool) {
		starved := q.starved(now)
		for _, e := range starved {
			if !yield(e) {
				return
			}
		}
		for _, k := range q.ranks {
			for e := range k.all(q.order(now)) {
				if !slices.Contains(starved, e) && !yield(e) {
					return
				}
			}
		}
	}
}

// starved returns the first statement of each rank but the highest that has had no service for longer than
// starvationLimit.
func (q *FairQueue[T]) starved(now time.Time) (out []*Entry[T]) {
	for _, k := range q.ranks[min(1, len(q.ranks)):] {
		if len(k.flows) == 0 || now.Sub(k.waitingSince) <= starvationLimit {
			continue
		}
		for e := range k.all(q.order(now)) {
			out = append(out, e)
			break
		}
	}
	return out
}

// order returns the order of service. Classes are served in turns as soon as the oldest statement has waited for longer
// than lifoThreshold, or statements have waited for minOverload: a queue from which hopeless statements are refused is
// short also in an overload.
func (q *FairQueue[T]) order(now time.Time) serviceOrder {
	overloaded := true
	for i := range q.drains {
		overloaded = overloaded && q.drains[i].waiting > 0 && q.drains[i].overload(now) > minOverload
	}
	return serviceOrder{now: now, cost: q.cost(), overloaded: overloaded}
}

// cost returns the expected slot time of a statement, in seconds.
func (q *FairQueue[T]) cost() float64 {
	if q.meanCost <= 0 {
		return initialCost.Seconds()
	}
	return q.meanCost.Seconds()
}

// account returns the use of slots of the account.
func (q *FairQueue[T]) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		if q.accounts == nil {
			q.accounts = map[string]*account{}
		}
		a = &account{weight: 1}
		q.accounts[name] = a
	}
	return a
}

// rank returns the rank with the number, which it adds if necessary. Ranks are those of the configured routes.
func (q *FairQueue[T]) rank(number int) *rank[T] {
	i, found := slices.BinarySearchFunc(q.ranks, number, func(k *rank[T], n int) int { return cmp.Compare(k.number, n) })
	if !found {
		q.ranks = slices.Insert(q.ranks, i, &rank[T]{number: number, byAccount: map[string]*flow[T]{}})
	}
	return q.ranks[i]
}

// reset ends a period in which statements waited. Accounts then count as equal again.
func (q *FairQueue[T]) reset() {
	q.accounts = nil
	q.virtualTime = 0
	for _, k := range q.ranks {
		k.waitingSince = time.Time{}
	}
}
