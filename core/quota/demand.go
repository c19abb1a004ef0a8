package quota

import (
	"math"
	"time"
)

// demandTimeConstant is over which time demand is averaged: an account's callers come to a host every few seconds each, and a
// refused one tries at several hosts.
const demandTimeConstant = 4 * time.Second

// demand is an average of how many operations begin per second. The zero demand is none.
type demand struct {
	rate      float64
	updatedAt time.Time
}

// record counts an operation.
func (d *demand) record(now time.Time) {
	d.decay(now)
	d.rate += 1 / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		d.updatedAt = now
	}
}

// value returns the demand in operations per second.
func (d *demand) value(now time.Time) float64 {
	d.decay(now)
	return d.rate
}
