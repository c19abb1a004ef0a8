package freshness

import (
	"slices"
	"time"

	"pearlatch/core/group"
)

// maxSamples is the maximum number of samples in a PositionHistory.
const maxSamples = 512

// minSampleInterval is the minimum time between two samples. It makes
// maxSamples reach back far enough for a replica that lags by many seconds.
const minSampleInterval = 20 * time.Millisecond

// PositionHistory bounds the age of a member's data. It keeps samples of the
// group's confirmed position, each with the time at which the primary was
// probed for it. Data that includes a sampled position is no older than that
// time. The age that a member itself reports is not used, since a disconnected
// member can't know what it misses.
//
// The zero value is empty and ready for use. A PositionHistory is not safe for
// concurrent use.
type PositionHistory struct {
	samples []positionSample
}

type positionSample struct {
	at       time.Time
	position group.Position
}

// Observe records that the group's confirmed position was p when the primary
// was probed at the given time. Observations must be made in order of time.
func (h *PositionHistory) Observe(at time.Time, p group.Position) {
	n := len(h.samples)
	if n > 0 && h.samples[n-1].position == p {
		// Nothing was written since the last sample. Its old time would make
		// data that includes it look older than it is.
		h.samples[n-1].at = at
		return
	}
	if n > 1 && at.Sub(h.samples[n-2].at) < minSampleInterval {
		h.samples[n-1] = positionSample{at, p}
		return
	}
	if n == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:n-1]
	}
	h.samples = append(h.samples, positionSample{at, p})
}

// ReachedAt returns the time at which the primary was first seen at p or
// beyond. It returns the zero time if all samples are of positions before p, or
// if p is older than the samples.
func (h *PositionHistory) ReachedAt(p group.Position) time.Time {
	var at time.Time
	for i := len(h.samples) - 1; i >= 0 && h.samples[i].position.Compare(p) >= 0; i-- {
		at = h.samples[i].at
	}
	return at
}

// AsOf returns the latest time for which p is known to include everything
// confirmed by then, or the zero time if no such time is known.
func (h *PositionHistory) AsOf(p group.Position) time.Time {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if h.samples[i].position.Compare(p) <= 0 {
			return h.samples[i].at
		}
	}
	return time.Time{}
}

// Covering returns a position that includes everything acknowledged before the
// given time. Of the sampled positions it returns the earliest one, which
// replicas reach first. It returns false if the primary was not probed at or
// after that time.
func (h *PositionHistory) Covering(at time.Time) (group.Position, bool) {
	i, _ := slices.BinarySearchFunc(h.samples, at, func(s positionSample, at time.Time) int { return s.at.Compare(at) })
	if i == len(h.samples) {
		return group.Position{}, false
	}
	return h.samples[i].position, true
}

// LatestTime returns the time at which the primary was last probed, or the zero
// time.
func (h *PositionHistory) LatestTime() time.Time {
	_, at := h.LatestSample()
	return at
}

// LatestSample returns the latest position of the primary and the time at which
// it was probed, or zero values.
func (h *PositionHistory) LatestSample() (group.Position, time.Time) {
	if len(h.samples) == 0 {
		return group.Position{}, time.Time{}
	}
	s := h.samples[len(h.samples)-1]
	return s.position, s.at
}
