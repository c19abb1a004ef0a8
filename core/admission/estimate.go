package admission

import "time"

// sampleWeight is the weight of a new sample in the moving average of Estimate.
const sampleWeight = 0.1

// WaitEstimator predicts how long a new request waits, from the mean time for which
// requests hold a connection. The zero value predicts no wait. It is not safe
// for concurrent use.
type WaitEstimator struct {
	meanHold time.Duration
}

// Observe records how long a request held its connection.
func (e *WaitEstimator) Observe(hold time.Duration) {
	if e.meanHold == 0 {
		e.meanHold = hold
		return
	}
	e.meanHold += time.Duration(sampleWeight * float64(hold-e.meanHold))
}

// MeanHold returns the moving average of the time for which a request holds its
// connection.
func (e *WaitEstimator) MeanHold() time.Duration { return e.meanHold }

// ExpectedWait returns the expected wait behind the given number of requests,
// which share the given number of connections. connections must be positive.
func (e *WaitEstimator) ExpectedWait(ahead, connections int) time.Duration {
	return e.meanHold * time.Duration(ahead) / time.Duration(connections)
}
