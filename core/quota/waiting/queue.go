package waiting

import (
	"cmp"
	"slices"
)

// Queue holds the operations of an account that wait for tokens, in the order in which they get one. The zero value is
// empty.
type Queue struct {
	entries []entry
	// served is the number of tokens received for the first entries; at most their number.
	served int
	last   uint64
}

// entry is a waiting operation. asked is the number of reserve holders that were asked for a token for it and held any
// portion of the account, as far as is known. tries is the number of all that were asked.
type entry struct {
	ticket       uint64
	asked, tries int
}

// Push adds an operation and returns its ticket.
func (q *Queue) Push() uint64 {
	q.last++
	q.entries = append(q.entries, entry{ticket: q.last})
	return q.last
}

// Len returns the number of waiting operations.
func (q *Queue) Len() int { return len(q.entries) }

// Missing returns the number of waiting operations that have no token.
func (q *Queue) Missing() int { return len(q.entries) - q.served }

// AddTokens gives tokens to the first operations without one. Tokens that none waits for are dropped.
func (q *Queue) AddTokens(n int) { q.served = min(len(q.entries), q.served+n) }

// Take ends the wait of an operation that has a token. It returns false if it has none.
func (q *Queue) Take(ticket uint64) bool {
	i := q.position(ticket)
	if i >= q.served {
		return false
	}
	q.served--
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}

// Remove ends the wait of an operation. Its token, if it has one, goes to the next.
func (q *Queue) Remove(ticket uint64) {
	i := q.position(ticket)
	q.entries = slices.Delete(q.entries, i, i+1)
	q.served = min(q.served, len(q.entries))
}

// Ahead returns the number of operations without a token that are ahead of one without a token.
func (q *Queue) Ahead(ticket uint64) int { return q.position(ticket) - q.served }

// MayAsk reports whether another reserve holder may be asked for a token for the operation. limit is the largest number of
// holders with portions that are asked for one operation, and tries that of all holders.
func (q *Queue) MayAsk(ticket uint64, limit, tries int) bool {
	return q.entries[q.position(ticket)].mayAsk(limit, tries)
}

func (e *entry) mayAsk(limit, tries int) bool { return e.asked < limit && e.tries < tries }

// Ask returns the number of operations without a token for which another holder may be asked, and counts one more for each
// of them.
func (q *Queue) Ask(limit, tries int) (n int) {
	for i := q.served; i < len(q.entries); i++ {
		if e := &q.entries[i]; e.mayAsk(limit, tries) {
			e.asked++
			e.tries++
			n++
		}
	}
	return n
}

// DiscountAsk records that the holder that was asked last holds no portion of the account.
func (q *Queue) DiscountAsk() {
	for i := q.served; i < len(q.entries); i++ {
		q.entries[i].asked = max(0, q.entries[i].asked-1)
	}
}

// AllowAsk allows one more holder to be asked for the operation, at the time at which it expects a token.
func (q *Queue) AllowAsk(ticket uint64) {
	e := &q.entries[q.position(ticket)]
	e.asked, e.tries = max(0, e.asked-1), max(0, e.tries-1)
}

// position returns the number of operations before the one with the given ticket.
func (q *Queue) position(ticket uint64) int {
	i, _ := slices.BinarySearchFunc(q.entries, ticket, func(e entry, t uint64) int { return cmp.Compare(e.ticket, t) })
	return i
}
