package quota

import (
	"time"

	"pearlatch/core/account"
)

const (
	// Lifetime is how long a portion lasts that is not renewed. It outlasts the outages of the users' stores and
	// the cuts between their hosts, of up to 12 s: callers of a host that is cut off are served meanwhile. A host
	// that is lost without a trace keeps its portions from others for so long.
	Lifetime = 13 * time.Second
	// drift is how far two clocks may part within that time.
	drift = 50 * time.Millisecond
	// wakesAfter is how long after a host last asked the granter with success its portions wake, and chargedAfter
	// how long after that question came the granter counts them as awake. In between, the question may have been
	// under way.
	wakesAfter   = 1400 * time.Millisecond
	chargedAfter = 1100 * time.Millisecond
	// AnswerWithin is how long after a question its answer may be taken.
	AnswerWithin = wakesAfter - chargedAfter - drift
)

// Terms are how far an account may exceed its quota in any Window, since hosts can't know each other's doings
// at every moment: (rate x Window + burst) x (1 + Share) + Operations. Zero Terms let it exceed it by nothing.
type Terms struct {
	Window     time.Duration
	Share      float64
	Operations float64
}

// The tolerance is split up. Most of it goes to callers: whoever refuses what an account may have serves it worse for
// nothing. The rest is for what hosts do not know of each other: what a granter begins with, and drifting clocks.
const (
	rateShare  = 0.9
	ratePart   = 0.75
	burstShare = 0.5
	burstPart  = 0.05
	beginPart  = 0.02
)

// quota is what hosts are given of an account's quota and of the tolerance.
func (t Terms) quota(q account.Quota) account.Quota {
	if t.Window <= 0 {
		return q
	}
	return account.Quota{
		Rate:  q.Rate*(1+rateShare*t.Share) + ratePart*t.Operations/t.Window.Seconds(),
		Burst: q.Burst*(1+burstShare*t.Share) + burstPart*t.Operations,
	}
}

// beginning is how many tokens a granter begins with. Those before it may have spent all others.
func (t Terms) beginning() float64 { return beginPart * t.Operations }

// Bound is how many operations of an account may begin within the window.
func (t Terms) Bound(q account.Quota) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Share) + t.Operations
}
