package serving

import "time"

const (
	// minRetryDelay is the pause until a host that failed is asked again, and longestRegainPause the longest one while
	// few have failed: a process is back after about a second.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// retryDelayPerHost is what each host that has failed adds to the pause: all of them together are asked 50 times a second.
	retryDelayPerHost = 20 * time.Millisecond
)

// PeerRetryDelay returns the pause until a host that has failed is asked again, after the given one, while so many have
// failed. After the loss of half of a large fleet each host misses tens of others, and asking each of them as often as
// a single one would leave a weak host no time for its callers.
func PeerRetryDelay(last time.Duration, failed int) time.Duration {
	pause := min(max(2*last, minRetryDelay), maxRetryDelay)
	return max(pause, time.Duration(failed)*retryDelayPerHost)
}
