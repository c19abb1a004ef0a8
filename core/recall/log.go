package recall

import (
	"sync"
	"time"
)

// Key names a request: the process that sent it, and its number there.
type Key struct {
	From   string
	Serial uint64
}

// Log holds the requests that came lately, with answers of type R. The zero value is ready for use, also by several
// goroutines.
type Log[R any] struct {
	mu      sync.Mutex
	entries map[Key]*entry[R]
	// order holds the keys, the oldest first.
	order []Key
}

type entry[R any] struct {
	// at is when the request came, or was recalled before it came.
	at time.Time
	// refused is true for a request that was recalled before it came.
	refused bool
	// done is true once the request has its answer.
	done  bool
	reply R
}

// Remembered is how long a request is remembered: the longest timeout of the users'
// statements, 2 s, and as long again for the questions after it.
const Remembered = 4 * time.Second

// Admit records a request and reports whether it may run.
func (l *Log[R]) Admit(k Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[k] != nil {
		return false
	}
	l.add(k, &entry[R]{at: now})
	return true
}

// Done records the answer to a request.
func (l *Log[R]) Done(k Key, reply R) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[k]; e != nil {
		e.reply, e.done = reply, true
	}
}

// Outcome is what became of a request.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that the request has not come, and will be refused if it does.
	Unknown Outcome = iota
	// Running means that it is being worked on.
	Running
	// Answered means that it has its answer.
	Answered
)

// Recall says what became of a request, with its answer. One that is not known is refused from then on,
// so that it can't run after its sender was told.
func (l *Log[R]) Recall(k Key, now time.Time) (Outcome, R) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var none R
	e := l.entries[k]
	switch {
	case e == nil:
		l.add(k, &entry[R]{at: now, refused: true})
		return Unknown, none
	case e.refused:
		return Unknown, none
	case !e.done:
		return Running, none
	}
	return Answered, e.reply
}

func (l *Log[R]) add(k Key, e *entry[R]) {
	if l.entries == nil {
		l.entries = map[Key]*entry[R]{}
	}
	for len(l.order) > 0 {
		oldest := l.entries[l.order[0]]
		if e.at.Sub(oldest.at) < Remembered {
			break
		}
		delete(l.entries, l.order[0])
		l.order = l.order[1:]
	}
	l.entries[k] = e
	l.order = append(l.order, k)
}
