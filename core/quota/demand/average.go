// Package demand measures the demand of the callers of an account at a host.
package demand

import (
	"math"
	"time"
)

// TimeConstant is the time constant of the moving average of demand. Each caller of an account calls a host every
// few seconds, and a refused caller tries several hosts.
const TimeConstant = 4 * time.Second

// Average is an exponentially weighted average of the operations requested per second. The zero value means none.
type Average struct {
	rate      float64
	updatedAt time.Time
}

// Record counts an operation.
func (d *Average) Record(now time.Time) {
	d.decay(now)
	d.rate += 1 / TimeConstant.Seconds()
}

func (d *Average) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / TimeConstant.Seconds())
		d.updatedAt = now
	}
}

// Value returns the demand in operations per second.
func (d *Average) Value(now time.Time) float64 {
	d.decay(now)
	return d.rate
}
