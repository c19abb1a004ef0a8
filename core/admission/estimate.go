package admission

import "time"

// sampleWeight of a new observation in Estimate's moving average.
const sampleWeight = 0.1

// Estimate predicts how long a new request waits, from how long requests hold a
// connection. The zero value predicts no wait. It is not safe for concurrent
// use.
type Estimate struct {
	meanHold time.Duration
}

// Observe records for how long a request held its connection.
func (e *Estimate) Observe(held time.Duration) {
	if e.meanHold == 0 {
		e.meanHold = held
		return
	}
	e.meanHold += time.Duration(sampleWeight * float64(held-e.meanHold))
}

// MeanHold returns the average time for which a connection is held.
func (e *Estimate) MeanHold() time.Duration { return e.meanHold }

// ExpectedWait returns the expected wait behind ahead requests that share the given
// number of connections, which must be positive.
func (e *Estimate) ExpectedWait(ahead, connections int) time.Duration {
	return e.meanHold * time.Duration(ahead) / time.Duration(connections)
}
