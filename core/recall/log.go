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
	// received holds the keys of admitted requests by age, the oldest first, and rejected those of the others.
	received, rejected []Key
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

const (
	// Retention is how long a request is kept at least: the longest statement timeout of the users, 2 s, and as long again
	// for calls of Resolve after it.
	Retention = 4 * time.Second
	// RejectionRetention is how long a rejected request is kept. A connection that was cut off may deliver it minutes later.
	RejectionRetention = 15 * time.Minute
	// maxRejected bounds the number of rejected requests that are kept. Senders call Resolve only for requests whose
	// connection fails.
	maxRejected = 1 << 14
)

// ProvesNotRun reports whether NotReceived, answered by a Log to a call of Resolve that returned at the given time, proves
// that a request which was sent at sent has not run. The Log may have dropped an older request that it received.
func ProvesNotRun(sent, answered time.Time) bool { return answered.Sub(sent) < Retention }

// Admit records a request and reports whether it may run. It returns false for a request that was admitted
// before or that Resolve rejected.
func (l *Log[R]) Admit(k Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	if l.entries[k] != nil {
		return false
	}
	l.entries[k] = &entry[R]{recorded: now}
	l.received = append(l.received, k)
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
	l.drop(now)
	e := l.entries[k]
	switch {
	case e == nil:
		l.entries[k] = &entry[R]{recorded: now, rejected: true}
		l.rejected = append(l.rejected, k)
		return NotReceived, zero
	case e.rejected:
		return NotReceived, zero
	case !e.done:
		return Running, zero
	}
	return Answered, e.reply
}

// drop drops the entries that need not be kept any longer. The caller must hold l.mu.
func (l *Log[R]) drop(now time.Time) {
	if l.entries == nil {
		l.entries = map[Key]*entry[R]{}
	}
	l.received = l.dropOld(l.received, now.Add(-Retention), len(l.received))
	l.rejected = l.dropOld(l.rejected, now.Add(-RejectionRetention), maxRejected-1)
}

// dropOld drops the entries of the first keys that were recorded at oldest or before, and more if there are over limit. It
// returns the remaining keys.
func (l *Log[R]) dropOld(keys []Key, oldest time.Time, limit int) []Key {
	for len(keys) > 0 && (len(keys) > limit || !l.entries[keys[0]].recorded.After(oldest)) {
		delete(l.entries, keys[0])
		keys = keys[1:]
	}
	return keys
}
