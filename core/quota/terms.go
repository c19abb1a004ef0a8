package quota

import (
	"time"

	"pearlatch/core/account"
)

const (
	// PortionTTL is how long a portion lasts that is not renewed. It outlasts the outages of the users' stores and
	// the cuts between their hosts, of up to 12 s: callers of a host that is cut off are served meanwhile. A host
	// that is lost without a trace keeps its portions from others for so long.
	PortionTTL = 13 * time.Second
	// maxClockDrift is how far two clocks may part within that time.
	maxClockDrift = 50 * time.Millisecond
	// activateAfter is how long after a host last asked the granter with success its portions wake, and chargedAfter
	// how long after that question came the granter counts them as awake. In between, the question may have been
	// under way.
	activateAfter     = 1400 * time.Millisecond
	assumeActiveAfter = 1100 * time.Millisecond
	// ResponseTimeout is how long after a question its answer may be taken.
	ResponseTimeout = activateAfter - assumeActiveAfter - maxClockDrift
)

// Tolerance are how far an account may exceed its quota in any Window, since hosts can't know each other's doings
// at every moment: (rate x Window + burst) x (1 + Share) + Operations. Zero Tolerance let it exceed it by nothing.
type Tolerance struct {
	Window     time.Duration
	Share      float64
	Operations float64
}

// The tolerance is split up. Most of it goes to callers: whoever refuses what an account may have serves it worse for
// nothing. The rest is for what hosts do not know of each other: what a granter begins with, and drifting clocks.
const (
	rateShareWeight         = 0.9
	rateOperationsWeight    = 0.75
	burstShareWeight        = 0.5
	burstOperationsWeight   = 0.05
	initialOperationsWeight = 0.02
)

// distributable is what hosts are given of an account's distributable and of the tolerance.
func (t Tolerance) distributable(q account.Quota) account.Quota {
	if t.Window <= 0 {
		return q
	}
	return account.Quota{
		Rate:  q.Rate*(1+rateShareWeight*t.Share) + rateOperationsWeight*t.Operations/t.Window.Seconds(),
		Burst: q.Burst*(1+burstShareWeight*t.Share) + burstOperationsWeight*t.Operations,
	}
}

// initialTokens is how many tokens a granter begins with. Those before it may have spent all others.
func (t Tolerance) initialTokens() float64 { return initialOperationsWeight * t.Operations }

// MaxOperations is how many operations of an account may begin within the window.
func (t Tolerance) MaxOperations(q account.Quota) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Share) + t.Operations
}
