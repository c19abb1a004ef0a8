package outage

import "time"

// Estimator learns from the outages that it saw. The zero value has seen none and is ready for
// use. It is not safe for concurrent use.
type Estimator struct {
	// average is a mean of how long outages lasted, the last one weighing half.
	average time.Duration
}

// Observe records how long an outage lasted that has ended.
func (f *Estimator) Observe(lasted time.Duration) {
	if f.average == 0 {
		f.average = lasted
		return
	}
	f.average = (f.average + lasted) / 2
}

// Remaining predicts how much longer an outage lasts that has lasted for the given time. Up to
// the typical length that is what is left of it. Beyond, and before any was seen, an outage is
// expected to last as long again as it has: what is away for seconds is not back within
// milliseconds, and one that has just begun may be over at once.
func (f *Estimator) Remaining(lasted time.Duration) time.Duration {
	if lasted < f.average {
		return f.average - lasted
	}
	return lasted
}
