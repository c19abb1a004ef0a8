package tolerance

import (
	"time"

	"pearlatch/core/account"
)

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

// Distributable returns what all hosts together may use of an account's quota and the tolerance.
func (t Tolerance) Distributable(q account.Quota) account.Quota {
	if t.Window <= 0 {
		return q
	}
	return account.Quota{
		Rate:  q.Rate*(1+rateShareWeight*t.Share) + rateOperationsWeight*t.Operations/t.Window.Seconds(),
		Burst: q.Burst*(1+burstShareWeight*t.Share) + burstOperationsWeight*t.Operations,
	}
}

// InitialTokens returns the number of tokens that a granter starts with. Earlier granters may have spent all others.
func (t Tolerance) InitialTokens() float64 { return initialOperationsWeight * t.Operations }

// MaxOperations returns how many operations of an account may begin within any Window.
func (t Tolerance) MaxOperations(q account.Quota) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Share) + t.Operations
}
