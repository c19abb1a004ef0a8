package group

import "time"

const (
	// minOverloadedRounds is how many rounds in a row must show an overloaded
	// primary without fresh replicas before another member takes over.
	minOverloadedRounds = 2
	// minSwitchoverInterval is the minimum time between two switchovers because
	// of overload. Each one aborts the open transactions.
	minSwitchoverInterval = 8 * time.Second
	// minSaturationWaits is how many statements must have waited within a round
	// for the primary to count as saturated. Fewer are taken for a burst.
	minSaturationWaits = 8
)

// PrimaryLoad describes the load of a primary in one round of probes.
type PrimaryLoad struct {
	// ReplicasLagging is true if every replica lags by more than the group's
	// routes accept, so that the primary serves all reads.
	ReplicasLagging bool
	// Running is how many statements the primary was running when it was
	// probed, and Slots how many it can run at once.
	Running, Slots int
	// Waits is how many statements of the probing host have had to wait since
	// the previous round.
	Waits int
}

// saturated reports whether the primary can't keep up with its statements. The
// number of running statements alone does not show it, since a primary with
// short statements may be probed in the idle moment between two of them while
// others wait.
func (l PrimaryLoad) saturated() bool { return l.Running >= l.Slots || l.Waits >= minSaturationWaits }

// OverloadDetector decides when an overloaded primary is to be replaced because
// no replica is fresh enough to take reads off it. A promoted replica is up to
// date at once, however far it lagged, and the old primary continues as a
// replica that does not lag, so that two members serve reads afterwards.
//
// The zero value is ready for use. An OverloadDetector is not safe for
// concurrent use.
type OverloadDetector struct {
	overloadedRounds int
	switchedAt       time.Time
}

// Observe records the load of one round and reports whether the primary is to
// be replaced now.
func (d *OverloadDetector) Observe(l PrimaryLoad, now time.Time) bool {
	if !l.ReplicasLagging || !l.saturated() {
		d.overloadedRounds = 0
		return false
	}
	d.overloadedRounds++
	if d.overloadedRounds < minOverloadedRounds || now.Sub(d.switchedAt) < minSwitchoverInterval {
		return false
	}
	d.overloadedRounds, d.switchedAt = 0, now
	return true
}

// Overloaded reports whether the last round showed an overloaded primary.
func (d *OverloadDetector) Overloaded() bool { return d.overloadedRounds > 0 }
