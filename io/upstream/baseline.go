package upstream

import (
	"sync"
	"time"

	"pearlatch/core/statement"
)

// fixedPrimary implements Unsafe.FixedPrimary, the baseline that session marks are
// measured against. The zero value is ready for use. It is safe for concurrent use.
type fixedPrimary struct {
	mu sync.Mutex
	// since holds when a session last wrote through a host, or first connected
	// through it.
	since map[sessionOnHost]time.Time
}

type sessionOnHost struct {
	host    uint16
	session string
}

// routesToPrimary reports whether a unit of the kind must run on the primary, and
// records a write. A session's reads run there for the duration fixed after its
// last write through the host, or after its first use of the host. If fixed is not
// positive, the rule is off.
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
