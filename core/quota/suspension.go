package quota

import (
	"time"

	"pearlatch/core/quota/tolerance"
)

const (
	// PortionTTL is how long a portion is valid without renewal. It exceeds the users' store outages and network
	// partitions, which last up to 12 s, so that callers of an unreachable host are served meanwhile. The portions of
	// a host that is lost without a report are unavailable to other hosts for this time.
	PortionTTL = 13 * time.Second
	// maxClockDrift is how far two clocks may drift apart within PortionTTL.
	maxClockDrift = 50 * time.Millisecond
	// A host's portions become active activateAfter after it sent its last answered request. The granter counts them as
	// active assumeActiveAfter after it received that request. The difference allows for the request's time in transit.
	activateAfter = 1400 * time.Millisecond
	// The granter learns of the arrival of a response with the next request, so assumeActiveAfter exceeds two
	// keepaliveIntervals.
	assumeActiveAfter = 1100 * time.Millisecond
	// ResponseTimeout is how long after a request its response may be accepted.
	ResponseTimeout = activateAfter - assumeActiveAfter - maxClockDrift
)

// suspension returns the times that replace activateAfter and assumeActiveAfter for a host that sends a request at least
// every interval. The driver sends it up to 50 ms later. Zero stands for keepaliveInterval.
func suspension(interval time.Duration) (activate, assume time.Duration) {
	if interval <= 0 {
		return activateAfter, assumeActiveAfter
	}
	assume = 2*(max(interval, ReserveKeepaliveInterval)+50*time.Millisecond) + maxClockDrift
	return assume + ResponseTimeout + maxClockDrift, assume
}

// Tolerance is how far an account may exceed its quota in any window.
type Tolerance = tolerance.Tolerance
