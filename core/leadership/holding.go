package leadership

import "time"

const (
	// RenewalInterval is the pause between two renewals of the lease under which a host's duties stand: two may get lost.
	RenewalInterval = 900 * time.Millisecond
	// renewalRetryInterval is the pause while they fail.
	renewalRetryInterval = 600 * time.Millisecond
)

// RenewalDue reports whether the lease under which a host's duties stand is to be renewed, which was renewed and was last
// tried to be so long ago. A host renews one lease for all its duties: with one for each, a host with five of them
// before a store that takes 240 ms a call needed longer for a round than the leases lasted.
func RenewalDue(renewed, tried time.Duration) bool {
	return renewed > RenewalInterval && tried > renewalRetryInterval
}
