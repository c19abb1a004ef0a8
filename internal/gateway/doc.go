// Package gateway serves callers' statements on every host. A host uses its own
// share of the connections to each member of a database group. The members use
// synchronous replication, so they acknowledge writes themselves. Several hosts
// serve a group concurrently, and none of them owns it. Any other host forwards
// the group's statements to one of these. One host per group, the coordinator,
// grants leases on the primary and requests promotions.
//
// The platform is the users' system that runs the members and the store. It lists
// the members in the store and carries out promotions.
//
// The package decides where a statement runs, how long it waits, when it is
// rejected, and when a replica is promoted. It reaches members, other hosts, the
// store and the promotion service through the interfaces in ports.go.
package gateway
