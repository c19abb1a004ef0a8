package group

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/outage"
)

const (
	// minOverloadedRounds is how many rounds in a row must show an overloaded
	// primary without usable replicas before another member takes over.
	minOverloadedRounds = 2
	// minSwitchoverInterval is the minimum time between a switchover and a later
	// one because of overload. Each one aborts the open transactions, and members
	// must not take turns as primary.
	minSwitchoverInterval = 10 * time.Second
	// abandonedRetryDelay replaces it after a switchover that was abandoned before
	// a promotion was requested. Replicas are fenced for up to 0.7 s meanwhile.
	abandonedRetryDelay = 4 * time.Second
	// minSaturationWaits is how many statements must have waited within a round
	// for the primary to count as saturated. Fewer are taken for a burst.
	minSaturationWaits = 8
	// flapWindow is for how long a replica that failed counts as unusable and is
	// no successor. Replicas that flap fail several times within a second.
	flapWindow = time.Second
	// expectedOverload is how long an overload is expected to last before any has
	// been seen to end: bursts and faults of replicas last some seconds.
	expectedOverload = 3 * time.Second
)

// ReplicaUse tells whether callers can use a replica, as seen in one round of
// probes.
type ReplicaUse struct {
	Member string
	// Lagging is true if the replica answered that it lags by more than the
	// group's routes accept.
	Lagging bool
	// Failed is true if the replica refused the probe or did not answer, if it
	// recently failed to answer a statement, or if it is no longer listed. A
	// replica that is merely too busy to answer has not failed: it serves reads.
	Failed bool
	// Behind is true if the replica recently refused callers' statements because
	// it lags far behind, whatever it reports.
	Behind bool
	// MayLead is true if the replica answered the probe and is not about to leave.
	MayLead bool
}

// PrimaryLoad describes the load of a primary in one round of probes.
type PrimaryLoad struct {
	// Replicas are the replicas that could serve reads. It is empty if no route
	// of the group accepts reads from replicas.
	Replicas []ReplicaUse
	// Running is how many statements the primary was running when it was
	// probed, and Slots how many it can run at once.
	Running, Slots int
	// Waits is how many statements of the probing host have had to wait since
	// the previous round.
	Waits int
	// Interruption is the time for which a switchover is expected to interrupt
	// service.
	Interruption time.Duration
	// LastSwitchover is when the last switchover known to this host began, or
	// zero. An earlier coordinator may have decided it.
	LastSwitchover time.Time
}

// saturated reports whether the primary can't keep up with its statements. The
// number of running statements alone does not show it, since a primary with
// short statements may be probed in the idle moment between two of them while
// others wait.
func (l PrimaryLoad) saturated() bool { return l.Running >= l.Slots || l.Waits >= minSaturationWaits }

// OverloadDetector decides when an overloaded primary is to be replaced because
// no replica can take reads off it: each of them lags, flaps, refuses, does not
// answer or is gone. A promoted replica is up to date at once, however far it
// lagged, and the old primary continues as a replica that does not lag, so that
// two members serve reads afterwards.
//
// The zero value is ready for use. An OverloadDetector is not safe for
// concurrent use.
type OverloadDetector struct {
	overloadedRounds int
	switchedAt       time.Time
	// abandonedAt is when the last switchover was abandoned, or zero.
	abandonedAt time.Time
	// overloadedSince is when the present overload was first seen, or zero, and
	// lengths estimates the length of overloads.
	overloadedSince time.Time
	lengths         outage.Estimator
	// failedAt is when a replica last failed, by member.
	failedAt map[string]time.Time
}

// Observe records the load of one round and reports whether the primary is to
// be replaced now.
func (d *OverloadDetector) Observe(l PrimaryLoad, now time.Time) bool {
	d.noteFailures(l.Replicas, now)
	if !d.overloaded(l, now) {
		d.noteEnd(now)
		return false
	}
	if d.overloadedSince.IsZero() {
		d.overloadedSince = now
	}
	d.overloadedRounds++
	recent := now.Sub(d.switchedAt) < minSwitchoverInterval ||
		l.LastSwitchover.After(d.abandonedAt) && now.Sub(l.LastSwitchover) < minSwitchoverInterval
	if d.overloadedRounds < minOverloadedRounds || recent || l.Interruption > d.remaining(now) {
		return false
	}
	d.overloadedRounds, d.overloadedSince, d.switchedAt = 0, time.Time{}, now
	return true
}

// Promoted records that a member was promoted, for whatever reason. A switchover
// soon after a failover would wait for a replica that still catches up with the
// new primary, and interrupt service for a second time.
func (d *OverloadDetector) Promoted(now time.Time) { d.overloadedRounds, d.switchedAt = 0, now }

// Abandon records that the switchover was abandoned before a promotion was
// requested.
func (d *OverloadDetector) Abandon(now time.Time) {
	d.switchedAt, d.abandonedAt = now.Add(abandonedRetryDelay-minSwitchoverInterval), now
}

// noteFailures records which replicas failed, and forgets those that are gone.
func (d *OverloadDetector) noteFailures(replicas []ReplicaUse, now time.Time) {
	if d.failedAt == nil {
		d.failedAt = map[string]time.Time{}
	}
	maps.DeleteFunc(d.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= flapWindow })
	for _, r := range replicas {
		if r.Failed {
			d.failedAt[r.Member] = now
		}
	}
}

// overloaded reports whether the primary is saturated, no replica can be used,
// and another member could lead. Replicas that all lag count even while no
// statement waits; other causes only while callers' statements wait.
func (d *OverloadDetector) overloaded(l PrimaryLoad, now time.Time) bool {
	if len(l.Replicas) == 0 || !l.saturated() {
		return false
	}
	usable := func(r ReplicaUse) bool { return !r.Lagging && !r.Behind && d.Steady(r.Member, now) }
	leads := func(r ReplicaUse) bool { return r.MayLead && d.Steady(r.Member, now) }
	lags := func(r ReplicaUse) bool { return r.Lagging }
	return !slices.ContainsFunc(l.Replicas, func(r ReplicaUse) bool { return !lags(r) }) ||
		l.Waits > 0 && !slices.ContainsFunc(l.Replicas, usable) && slices.ContainsFunc(l.Replicas, leads)
}

// Steady reports whether the replica has not failed within flapWindow, so that
// it may succeed the primary.
func (d *OverloadDetector) Steady(member string, now time.Time) bool {
	at, failed := d.failedAt[member]
	return !failed || now.Sub(at) >= flapWindow
}

// noteEnd records that the primary is not overloaded.
func (d *OverloadDetector) noteEnd(now time.Time) {
	if !d.overloadedSince.IsZero() {
		d.seed()
		d.lengths.Observe(now.Sub(d.overloadedSince))
	}
	d.overloadedRounds, d.overloadedSince = 0, time.Time{}
}

// remaining estimates how much longer the overload would last without a
// switchover: until the usual length, but at least as long as it has lasted,
// since one that nears the usual length may be a longer one.
func (d *OverloadDetector) remaining(now time.Time) time.Duration {
	d.seed()
	elapsed := now.Sub(d.overloadedSince)
	return max(d.lengths.Remaining(elapsed), elapsed)
}

// seed makes expectedOverload the first length that the estimate is based on.
func (d *OverloadDetector) seed() {
	if d.lengths == (outage.Estimator{}) {
		d.lengths.Observe(expectedOverload)
	}
}

// Overloaded reports whether the last round showed an overloaded primary.
func (d *OverloadDetector) Overloaded() bool { return d.overloadedRounds > 0 }
