package serving

import "time"

const (
	// minRetryDelay is the delay before a failed host is first contacted again. maxRetryDelay bounds the delay while few
	// hosts have failed, since a process restarts within about a second.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// retryDelayPerHost times the number of failed hosts is the least delay. It limits the retries to all of them to 50 a
	// second.
	retryDelayPerHost = 20 * time.Millisecond
)

// PeerRetryDelay returns the delay before a failed host is contacted again. last is the previous delay, or zero, and
// failed the number of failed hosts. After the loss of half of a large fleet each host misses tens of others. Contacting
// each of them as often as a single one would leave a weak host no time for its callers.
func PeerRetryDelay(last time.Duration, failed int) time.Duration {
	delay := min(max(2*last, minRetryDelay), maxRetryDelay)
	return max(delay, time.Duration(failed)*retryDelayPerHost)
}
