package freshness

import (
	"slices"
	"time"

	"pearlatch/core/group"
)

// maxSamples bounds the samples that Ages keeps.
const maxSamples = 512

// minSampleInterval is the least time between two samples kept, so that ageSamples
// reach back far enough for a replica that lags by many seconds.
const minSampleInterval = 20 * time.Millisecond

// PositionHistory bounds how old the data of a member is. It keeps samples of the
// confirmed position with the time at which the primary was asked for it: data
// that includes a sampled position is no older than that time. A member's own
// word about its age is not used, since a member that is cut off cannot know
// what it misses.
//
// The zero value is empty and ready for use. PositionHistory is not safe for concurrent
// use.
type PositionHistory struct {
	samples []positionSample
}

type positionSample struct {
	at       time.Time
	position group.Position
}

// Observe records that the group's confirmed position was p when the primary
// was asked at the given time. Observations must come in order of time.
func (a *PositionHistory) Observe(at time.Time, p group.Position) {
	n := len(a.samples)
	if n > 0 && a.samples[n-1].position == p {
		// No write since: the older sample would only age the data.
		a.samples[n-1].at = at
		return
	}
	if n > 1 && at.Sub(a.samples[n-2].at) < minSampleInterval {
		a.samples[n-1] = positionSample{at, p}
		return
	}
	if n == maxSamples {
		copy(a.samples, a.samples[1:])
		a.samples = a.samples[:n-1]
	}
	a.samples = append(a.samples, positionSample{at, p})
}

// ReachedAt returns when the primary was first seen at p or beyond, or the zero
// time when all samples are of earlier positions or of p's distant past.
func (a *PositionHistory) ReachedAt(p group.Position) time.Time {
	var at time.Time
	for i := len(a.samples) - 1; i >= 0 && a.samples[i].position.Compare(p) >= 0; i-- {
		at = a.samples[i].at
	}
	return at
}

// AsOf returns the latest time at which everything confirmed is known to be
// included in p, or the zero time when that is not known.
func (a *PositionHistory) AsOf(p group.Position) time.Time {
	for i := len(a.samples) - 1; i >= 0; i-- {
		if a.samples[i].position.Compare(p) <= 0 {
			return a.samples[i].at
		}
	}
	return time.Time{}
}

// Covering returns a position that includes everything acknowledged before the
// given time, and of those known the one that replicas reach first. It returns
// false when the primary was not asked since.
func (a *PositionHistory) Covering(at time.Time) (group.Position, bool) {
	i, _ := slices.BinarySearchFunc(a.samples, at, func(s positionSample, at time.Time) int { return s.at.Compare(at) })
	if i == len(a.samples) {
		return group.Position{}, false
	}
	return a.samples[i].position, true
}

// LatestTime returns when the primary was last asked, or the zero time.
func (a *PositionHistory) LatestTime() time.Time {
	_, at := a.LatestSample()
	return at
}

// LatestSample returns the position at which the primary was last seen, and when it was asked, or
// zero values.
func (a *PositionHistory) LatestSample() (group.Position, time.Time) {
	if len(a.samples) == 0 {
		return group.Position{}, time.Time{}
	}
	s := a.samples[len(a.samples)-1]
	return s.position, s.at
}
