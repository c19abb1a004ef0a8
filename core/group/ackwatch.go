package group

import "time"

// AckWatch shows whether writes hang: the primary has taken some and
// acknowledges none. The zero value is ready for use. It is not safe for
// concurrent use.
type AckWatch struct {
	// pending counts writes without an answer, and since is since when none of
	// them has been acknowledged.
	pending int
	since   time.Time
}

// Begin records that a write was sent.
func (w *AckWatch) Begin(now time.Time) {
	if w.pending++; w.pending == 1 {
		w.since = now
	}
}

// End records that a write has ended, and whether it was acknowledged.
func (w *AckWatch) End(now time.Time, acknowledged bool) {
	if w.pending--; acknowledged {
		w.since = now
	}
}

// Hanging reports whether a write has been pending and none was acknowledged
// for longer than the limit.
func (w *AckWatch) Hanging(now time.Time, limit time.Duration) bool {
	return w.pending > 0 && now.Sub(w.since) > limit
}
