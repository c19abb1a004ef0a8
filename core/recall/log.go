package recall

import (
	"sync"
	"time"
)

// Key identifies a request by the process that sent it and its serial number there.
type Key struct {
	Sender string
	Serial uint64
}

// Log records requests received lately, with replies of type R. The zero value is ready for use. It is safe for
// concurrent use.
type Log[R any] struct {
	mu      sync.Mutex
	entries map[Key]*entry[R]
	// order holds the keys by age, the oldest first.
	order []Key
}

type entry[R any] struct {
	// recorded is when the request arrived, or when Resolve rejected it before it arrived.
	recorded time.Time
	// rejected is true if Resolve was called for the request before it arrived.
	rejected bool
	// done is true once the request has a reply.
	done  bool
	reply R
}

// Retention is how long a request is kept: the longest statement timeout of the users, 2 s, and as long again
// for calls of Resolve after it.
const Retention = 4 * time.Second

// Admit records a request and reports whether it may run. It returns false for a request that was admitted
// before or that Resolve rejected.
func (l *Log[R]) Admit(k Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[k] != nil {
		return false
	}
	l.add(k, &entry[R]{recorded: now})
	return true
}

// Complete records the reply to a request. It does nothing if the log does not hold the request.
func (l *Log[R]) Complete(k Key, reply R) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[k]; e != nil {
		e.reply, e.done = reply, true
	}
}

// Outcome is the state of a request.
type Outcome uint8

// The outcomes.
const (
	// NotReceived means that the request has not arrived and is rejected if it does.
	NotReceived Outcome = iota
	// Running means that the request has no reply yet.
	Running
	// Answered means that the request has its reply.
	Answered
)

// Resolve returns the outcome of a request, and its reply if it is Answered. A request that has not arrived is
// rejected from then on, so that it can't run after its sender was told that it has not.
func (l *Log[R]) Resolve(k Key, now time.Time) (Outcome, R) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var zero R
	e := l.entries[k]
	switch {
	case e == nil:
		l.add(k, &entry[R]{recorded: now, rejected: true})
		return NotReceived, zero
	case e.rejected:
		return NotReceived, zero
	case !e.done:
		return Running, zero
	}
	return Answered, e.reply
}

// add adds an entry and removes those older than Retention. The caller must hold l.mu.
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
