package leadership

import "time"

const (
	// RenewalInterval is the interval between two renewals of a host's coordinator lease. Two renewals may fail.
	RenewalInterval = 900 * time.Millisecond
	// renewalRetryInterval is the minimum time between two attempts while renewals fail.
	renewalRetryInterval = 600 * time.Millisecond
)

// RenewalDue reports whether a host's coordinator lease is due for renewal. renewed is the time since the last
// renewal, and tried the time since the last attempt. A host renews one lease for all its roles: with one lease
// per role, a host with five roles and a store that takes 240 ms a call needed longer for a round of renewals than
// the leases lasted.
func RenewalDue(renewed, tried time.Duration) bool {
	return renewed > RenewalInterval && tried > renewalRetryInterval
}
