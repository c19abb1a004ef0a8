package group

import "time"

const (
	// minOverloadedRounds is how many rounds in a row a primary must be at its limit while no replica is fresh, until another
	// member takes over.
	minOverloadedRounds = 2
	// minSwitchoverInterval is the least time between two changes of primary for relief: each aborts the transactions that are
	// open.
	minSwitchoverInterval = 8 * time.Second
	// minOverloadWaits is how many statements must have had to wait within a round. Fewer are a burst.
	minOverloadWaits = 8
)

// PrimaryLoad is what one round showed of a primary's load.
type PrimaryLoad struct {
	// ReplicasLagging is true if every replica is further behind than the group's routes accept, so that the primary serves all
	// reads.
	ReplicasLagging bool
	// Running is how many statements the primary ran at the moment of the question, and Slots how many it runs at once.
	Running, Slots int
	// Waits is how many statements of the asking host had to wait since the round before.
	Waits int
}

// saturated reports whether the primary can't serve what comes to it. The moment of the question alone does not tell: a
// primary with short statements is idle between two of them while others wait.
func (l PrimaryLoad) saturated() bool { return l.Running >= l.Slots || l.Waits >= minOverloadWaits }

// OverloadDetector decides when a group is better off with another primary: the present one is at its limit, since no replica is
// fresh enough. A promoted replica is up to date at once, however far it was behind, and the old primary goes on as a
// replica that is not behind, so two members serve reads. The zero value is ready for use.
type OverloadDetector struct {
	overloadedRounds int
	switchedAt       time.Time
}

// Observe takes over a round and reports whether the primary is to be relieved now.
func (r *OverloadDetector) Observe(l PrimaryLoad, now time.Time) bool {
	if !l.ReplicasLagging || !l.saturated() {
		r.overloadedRounds = 0
		return false
	}
	r.overloadedRounds++
	if r.overloadedRounds < minOverloadedRounds || now.Sub(r.switchedAt) < minSwitchoverInterval {
		return false
	}
	r.overloadedRounds, r.switchedAt = 0, now
	return true
}

// Overloaded reports whether the last round showed a primary at its limit.
func (r *OverloadDetector) Overloaded() bool { return r.overloadedRounds > 0 }
