// Package group decides what the owner of a database group may conclude from
// the answers of the group's members: which member is the primary, what a
// majority holds, and which member may be promoted.
//
// The package does no I/O. Its functions take observed values, including the
// current time where they need it, and return decisions.
package group
