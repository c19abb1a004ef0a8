package serving

import "time"

const (
	// minRetryDelay is the delay before a failed host is first contacted again. maxRetryDelay bounds the delay while few
	// hosts have failed, since a process restarts within about a second.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// The delay is at least retryDelayPerHost times the number of failed hosts, so that all of them together are retried at
	// most 50 times a second.
	retryDelayPerHost = 20 * time.Millisecond
)

// PeerRetryDelay returns the delay before a failed host is contacted again. last is the previous delay, or zero before the
// first retry, and failed is the number of failed hosts. After the loss of half of a large fleet, each host retries tens of
// others. If it retried each of them as often as a single one, a host with few cores would have no time for its callers.
func PeerRetryDelay(last time.Duration, failed int) time.Duration {
	delay := min(max(2*last, minRetryDelay), maxRetryDelay)
	return max(delay, time.Duration(failed)*retryDelayPerHost)
}
