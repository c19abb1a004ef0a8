package quota

import (
	"time"

	"pearlatch/core/account"
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

// Tolerance is how far an account may exceed its quota in any Window, since hosts can't know each other's state at every
// moment: up to (rate x Window + burst) x (1 + Share) + Operations. With the zero Tolerance nothing is exceeded.
type Tolerance struct {
	Window     time.Duration
	Share      float64
	Operations float64
}

// The weights are the parts of the tolerance's Share and Operations that are added to the rate, to the burst and to a
// granter's initial tokens. Most of the tolerance goes to callers, since refusing operations that the bound allows only
// makes the service worse. The rest covers what hosts do not know of each other: a granter's initial tokens and clock
// drift.
const (
	rateShareWeight         = 0.9
	rateOperationsWeight    = 0.75
	burstShareWeight        = 0.5
	burstOperationsWeight   = 0.05
	initialOperationsWeight = 0.02
)

// distributable returns what all hosts together may use of an account's quota and the tolerance.
func (t Tolerance) distributable(q account.Quota) account.Quota {
	if t.Window <= 0 {
		return q
	}
	return account.Quota{
		Rate:  q.Rate*(1+rateShareWeight*t.Share) + rateOperationsWeight*t.Operations/t.Window.Seconds(),
		Burst: q.Burst*(1+burstShareWeight*t.Share) + burstOperationsWeight*t.Operations,
	}
}

// initialTokens returns the number of tokens that a granter starts with. Earlier granters may have spent all others.
func (t Tolerance) initialTokens() float64 { return initialOperationsWeight * t.Operations }

// MaxOperations returns how many operations of an account may begin within any Window.
func (t Tolerance) MaxOperations(q account.Quota) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Share) + t.Operations
}
