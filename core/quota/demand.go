package quota

import (
	"math"
	"time"
)

// demandTime is over which time demand is averaged: an account's callers come to a host every few seconds each, and a
// refused one tries at several hosts.
const demandTime = 4 * time.Second

// demand is an average of how many operations begin per second. The zero demand is none.
type demand struct {
	rate float64
	at   time.Time
}

// note counts an operation.
func (d *demand) note(now time.Time) {
	d.fade(now)
	d.rate += 1 / demandTime.Seconds()
}

func (d *demand) fade(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		d.at = now
	}
}

// value returns the demand in operations per second.
func (d *demand) value(now time.Time) float64 {
	d.fade(now)
	return d.rate
}
