// Package hostmetrics records a host's metrics: statements by outcome, waits, calls to members and to the store. Their
// number is bounded by the configured routes, groups and members, since no name contains a caller or an account.
package hostmetrics
