package leadership

import "time"

const (
	// minTokenRetryDelay and longestRaisePause bound the pause after a token that the platform did not take.
	minTokenRetryDelay = 350 * time.Millisecond
	maxTokenRetryDelay = 6 * time.Second
)

// TokenRetryDelay returns the pause until a holder shows the platform its token again, after a try that failed and came last
// after the given pause, or zero. draw is a random number from 0 up to 1.
//
// The load that it answers is the loss of half of a large fleet: hundreds of duties change their holders within seconds
// before a platform that takes some tens of calls a second from all of them, and holders that try again at each round
// have nearly all of their calls refused.
func TokenRetryDelay(last time.Duration, draw float64) time.Duration {
	pause := min(max(2*last, minTokenRetryDelay), maxTokenRetryDelay)
	return time.Duration((0.5 + draw/2) * float64(pause))
}
