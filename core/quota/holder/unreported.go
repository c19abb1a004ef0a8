package holder

import "pearlatch/core/quota/share"

// Unreported counts the hosts that have not reported their portions: those that may hold reserves, and all others.
type Unreported struct{ Holders, Others int }

// Add adds n to the count of hosts that may hold reserves, or of all others.
func (u *Unreported) Add(mayHoldReserve bool, n int) {
	if mayHoldReserve {
		u.Holders += n
	} else {
		u.Others += n
	}
}

// Max returns the fraction of a quota that these hosts may hold, where all hosts but the holders hold at most others.
func (u Unreported) Max(others float64) float64 {
	return float64(u.Holders)*share.PerHost + min(float64(u.Others)*share.PerHost, others)
}
