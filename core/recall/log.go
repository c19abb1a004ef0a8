package recall

import (
	"sync"
	"time"
)

// Key names a request: the process that sent it, and its number there.
type Key struct {
	Sender string
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
	// recorded is when the request came, or was recalled before it came.
	recorded time.Time
	// rejected is true for a request that was recalled before it came.
	rejected bool
	// done is true once the request has its answer.
	done  bool
	reply R
}

// Retention is how long a request is remembered: the longest timeout of the users'
// statements, 2 s, and as long again for the questions after it.
const Retention = 4 * time.Second

// Admit records a request and reports whether it may run.
func (l *Log[R]) Admit(k Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[k] != nil {
		return false
	}
	l.add(k, &entry[R]{recorded: now})
	return true
}

// Complete records the answer to a request.
func (l *Log[R]) Complete(k Key, reply R) {
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
	// NotReceived means that the request has not come, and will be refused if it does.
	NotReceived Outcome = iota
	// Running means that it is being worked on.
	Running
	// Answered means that it has its answer.
	Answered
)

// Resolve says what became of a request, with its answer. One that is not known is refused from then on,
// so that it can't run after its sender was told.
func (l *Log[R]) Resolve(k Key, now time.Time) (Outcome, R) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var none R
	e := l.entries[k]
	switch {
	case e == nil:
		l.add(k, &entry[R]{recorded: now, rejected: true})
		return NotReceived, none
	case e.rejected:
		return NotReceived, none
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
		if e.recorded.Sub(oldest.recorded) < Retention {
			break
		}
		delete(l.entries, l.order[0])
		l.order = l.order[1:]
	}
	l.entries[k] = e
	l.order = append(l.order, k)
}
