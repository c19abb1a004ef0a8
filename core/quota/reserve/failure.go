package reserve

import "time"

const (
	// GranterLossTimeout is how long a granter may fail to respond before operations stop waiting for it.
	GranterLossTimeout = 300 * time.Millisecond
	// failureTTL is how long after its last failure the granter counts as failing. While there are accounts to serve, a
	// failing granter is tried again every 500 ms, which takes up to 350 ms longer.
	failureTTL = time.Second
)

// Failure tracks whether the granter fails to respond. A failure that was not repeated does not count for long: with no
// accounts to serve, the granter has not been tried since. The zero value means that the granter responds.
type Failure struct {
	// since is when the granter stopped responding, or zero. last is when it last failed to respond.
	since, last time.Time
}

// Record records that the granter failed to respond.
func (f *Failure) Record(now time.Time) {
	if !f.Lasts(now) {
		f.since = now
	}
	f.last = now
}

// Clear records that the granter responded.
func (f *Failure) Clear() { *f = Failure{} }

// Since returns when the granter stopped responding, or zero.
func (f *Failure) Since() time.Time { return f.since }

// Lasts reports whether the granter fails to respond.
func (f *Failure) Lasts(now time.Time) bool {
	return !f.since.IsZero() && now.Sub(f.last) <= failureTTL
}

// GranterLost reports whether the granter has failed to respond for so long that operations no longer wait for it.
func (f *Failure) GranterLost(now time.Time) bool {
	return f.Lasts(now) && now.Sub(f.since) > GranterLossTimeout
}
