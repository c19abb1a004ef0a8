package waiting

import (
	"math"
	"time"
)

// MinRetryAfter and MaxRetryAfter bound the times that refused operations are told. The minimum is one or two round trips.
// The maximum is the time in which portions follow demand.
const (
	MinRetryAfter = 20 * time.Millisecond
	MaxRetryAfter = 2 * time.Second
)

// Schedule assigns the tokens that are expected next to the operations that are told when to retry, so that callers that
// are refused together do not all come back for the same token. The zero value has assigned none.
type Schedule struct {
	// bookedUntil is the time until which tokens are assigned.
	bookedUntil time.Time
	spread      Spread
}

// Book assigns the next tokens to n operations. first is the time until the next token, and rate the number of tokens per
// second. It returns the time after which the first operation is to retry, and the interval between the retries of the
// following ones.
func (s *Schedule) Book(n int, first time.Duration, rate float64, now time.Time) (after, interval time.Duration) {
	if rate <= 0 {
		return s.spread.Next(), MinRetryAfter
	}
	interval = time.Duration(min(float64(time.Second)/rate, float64(MaxRetryAfter)))
	after = max(MinRetryAfter, first, s.bookedUntil.Sub(now))
	if after > MaxRetryAfter {
		return s.spread.Next(), interval
	}
	s.bookedUntil = now.Add(min(after+time.Duration(n)*interval, MaxRetryAfter+interval))
	return after, interval
}

// Wait returns the time until the first token that is not assigned.
func (s *Schedule) Wait(now time.Time) time.Duration { return max(0, s.bookedUntil.Sub(now)) }

// Spread returns retry times for operations for which no token is expected within MaxRetryAfter: between half of it and
// all of it, evenly spread by multiples of the golden ratio. The zero value is ready for use.
type Spread struct{ count uint32 }

// Next returns the next retry time.
func (s *Spread) Next() time.Duration {
	s.count++
	_, fraction := math.Modf(float64(s.count) * math.Phi)
	return MaxRetryAfter/2 + time.Duration(fraction*float64(MaxRetryAfter/2))
}
