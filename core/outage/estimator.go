package outage

import "time"

// Estimator estimates the remaining length of an outage from the lengths of earlier ones. The zero value has
// observed none and is ready for use. It is not safe for concurrent use.
type Estimator struct {
	// average is the moving average of outage lengths, in which the last outage weighs half.
	average time.Duration
}

// Observe records the length of an outage that has ended.
func (e *Estimator) Observe(length time.Duration) {
	if e.average == 0 {
		e.average = length
		return
	}
	e.average = (e.average + length) / 2
}

// Remaining estimates how much longer an outage lasts that has lasted for elapsed. Below the average length it
// returns the time left until the average. Beyond the average, or before any outage was observed, it returns elapsed: an
// outage of seconds does not end within milliseconds, and one that has just begun may end at once.
func (e *Estimator) Remaining(elapsed time.Duration) time.Duration {
	if elapsed < e.average {
		return e.average - elapsed
	}
	return elapsed
}
