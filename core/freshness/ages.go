package freshness

import (
	"slices"
	"time"

	"pearlatch/core/group"
)

// ageSamples bounds the samples that Ages keeps.
const ageSamples = 512

// ageSpacing is the least time between two samples kept, so that ageSamples
// reach back far enough for a replica that lags by many seconds.
const ageSpacing = 20 * time.Millisecond

// Ages bounds how old the data of a member is. It keeps samples of the
// confirmed position with the time at which the primary was asked for it: data
// that includes a sampled position is no older than that time. A member's own
// word about its age is not used, since a member that is cut off cannot know
// what it misses.
//
// The zero value is empty and ready for use. Ages is not safe for concurrent
// use.
type Ages struct {
	samples []ageSample
}

type ageSample struct {
	at       time.Time
	position group.Position
}

// Observe records that the group's confirmed position was p when the primary
// was asked at the given time. Observations must come in order of time.
func (a *Ages) Observe(at time.Time, p group.Position) {
	n := len(a.samples)
	if n > 0 && a.samples[n-1].position == p {
		// No write since: the older sample would only age the data.
		a.samples[n-1].at = at
		return
	}
	if n > 1 && at.Sub(a.samples[n-2].at) < ageSpacing {
		a.samples[n-1] = ageSample{at, p}
		return
	}
	if n == ageSamples {
		copy(a.samples, a.samples[1:])
		a.samples = a.samples[:n-1]
	}
	a.samples = append(a.samples, ageSample{at, p})
}

// Reached returns when the primary was first seen at p or beyond, or the zero
// time when all samples are of earlier positions or of p's distant past.
func (a *Ages) Reached(p group.Position) time.Time {
	var at time.Time
	for i := len(a.samples) - 1; i >= 0 && a.samples[i].position.Compare(p) >= 0; i-- {
		at = a.samples[i].at
	}
	return at
}

// Since returns the latest time at which everything confirmed is known to be
// included in p, or the zero time when that is not known.
func (a *Ages) Since(p group.Position) time.Time {
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
func (a *Ages) Covering(at time.Time) (group.Position, bool) {
	i, _ := slices.BinarySearchFunc(a.samples, at, func(s ageSample, at time.Time) int { return s.at.Compare(at) })
	if i == len(a.samples) {
		return group.Position{}, false
	}
	return a.samples[i].position, true
}

// Latest returns when the primary was last asked, or the zero time.
func (a *Ages) Latest() time.Time {
	_, at := a.Newest()
	return at
}

// Newest returns the position at which the primary was last seen, and when it was asked, or
// zero values.
func (a *Ages) Newest() (group.Position, time.Time) {
	if len(a.samples) == 0 {
		return group.Position{}, time.Time{}
	}
	s := a.samples[len(a.samples)-1]
	return s.position, s.at
}
