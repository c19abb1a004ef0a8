package group

import "time"

// stuckWriteTimeout is how long the replicas may receive nothing of what the
// primary has written before the primary counts as cut off from them.
const stuckWriteTimeout = 600 * time.Millisecond

// StuckWriteDetector detects a primary that waits for acknowledgements that
// don't come: the replicas do not receive what it has written, and its callers
// wait with it.
//
// The zero value is ready for use. A StuckWriteDetector is not safe for
// concurrent use.
type StuckWriteDetector struct {
	// unreceived is a position of the primary that no replica has received since
	// the time since, or zero.
	unreceived Position
	since      time.Time
}

// Observe records the ends of the logs of the primary and of the replicas that
// have answered, and reports whether writes are stuck.
func (d *StuckWriteDetector) Observe(primary Position, replicas []Position, now time.Time) bool {
	var highest Position
	for _, r := range replicas {
		if r.Compare(highest) > 0 {
			highest = r
		}
	}
	if d.unreceived == (Position{}) || highest.Compare(d.unreceived) >= 0 {
		d.unreceived, d.since = Position{}, now
		if primary.Compare(highest) > 0 {
			d.unreceived = primary
		}
		return false
	}
	return now.Sub(d.since) > stuckWriteTimeout
}

// Waiting reports whether no replica has received a position of the primary
// that an earlier round has seen.
func (d *StuckWriteDetector) Waiting() bool { return d.unreceived != (Position{}) }

// Reset forgets the position, since another member leads.
func (d *StuckWriteDetector) Reset() { d.unreceived = Position{} }
