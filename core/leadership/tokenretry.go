package leadership

import "time"

const (
	// minTokenRetryDelay and maxTokenRetryDelay bound the delay after the platform refused a fencing token.
	minTokenRetryDelay = 350 * time.Millisecond
	maxTokenRetryDelay = 6 * time.Second
)

// TokenRetryDelay returns the delay until a coordinator sends the platform its fencing token again after a failed
// attempt. last is the delay before that attempt, or zero. draw is a random number in [0, 1) and gives the jitter.
//
// It is designed for the loss of half of a large fleet: hundreds of roles change hands within seconds, and the
// platform serves some tens of calls a second in total. Without backoff, nearly all calls of the coordinators were
// refused.
func TokenRetryDelay(last time.Duration, draw float64) time.Duration {
	delay := min(max(2*last, minTokenRetryDelay), maxTokenRetryDelay)
	return time.Duration((0.5 + draw/2) * float64(delay))
}
