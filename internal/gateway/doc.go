// Package gateway serves callers directly: each host holds its own share of the
// connections to every member of a database group whose members acknowledge
// writes themselves (synchronous replication). Several hosts serve a group side
// by side, so no host owns it.
//
// The package decides where a statement runs, how long it waits, when it is
// refused, and when a replica is promoted. It speaks to callers, members, the
// store and the promotion service through the interfaces in ports.go.
package gateway
