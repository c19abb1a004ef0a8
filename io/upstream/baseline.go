package upstream

import (
	"sync"
	"time"

	"pearlatch/core/statement"
)

// fixedPrimary is the baseline that marks are measured against: see
// Unsafe.FixedPrimary. The zero value is ready for use.
type fixedPrimary struct {
	mu sync.Mutex
	// since holds when a session last wrote by way of a host, or first came by
	// it.
	since map[sessionOnHost]time.Time
}

type sessionOnHost struct {
	host    uint16
	session string
}

// routesToPrimary reports whether the rule sends the unit to the primary.
func (f *fixedPrimary) routesToPrimary(fixed time.Duration, r *statement.Request, kind statement.Kind) bool {
	if fixed <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since == nil {
		f.since = map[sessionOnHost]time.Time{}
	}
	key, now := sessionOnHost{uint16(r.CancelKey.Process >> 16), r.Session}, time.Now()
	since, known := f.since[key]
	if !known || kind == statement.Write {
		f.since[key] = now
		return true
	}
	return now.Sub(since) < fixed
}
