package outage

import "time"

// Forecast learns from the outages that it saw. The zero value has seen none and is ready for
// use. It is not safe for concurrent use.
type Forecast struct {
	// typical is a mean of how long outages lasted, the last one weighing half.
	typical time.Duration
}

// Over records how long an outage lasted that has ended.
func (f *Forecast) Over(lasted time.Duration) {
	if f.typical == 0 {
		f.typical = lasted
		return
	}
	f.typical = (f.typical + lasted) / 2
}

// Remaining predicts how much longer an outage lasts that has lasted for the given time. Up to
// the typical length that is what is left of it. Beyond, and before any was seen, an outage is
// expected to last as long again as it has: what is away for seconds is not back within
// milliseconds, and one that has just begun may be over at once.
func (f *Forecast) Remaining(lasted time.Duration) time.Duration {
	if lasted < f.typical {
		return f.typical - lasted
	}
	return lasted
}
