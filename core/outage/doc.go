// Package outage estimates how long an unavailable component stays unavailable, so that a caller whose deadline
// ends before its return is refused at once and told when to retry.
package outage
