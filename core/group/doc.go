// Package group decides what the owner of a database group may conclude from
// the answers of the group's members: which member is the primary, what a
// majority holds, and which member may be promoted.
//
// There are two kinds of group. In one, pearlatch's owner confirms each write
// by a majority of the members; Candidate chooses the member to promote. In the
// other, the members themselves acknowledge a write once the primary and one
// replica hold it; Successor chooses the member to promote.
//
// The package does no I/O. Its functions take observed values, including the
// current time where they need it, and return decisions.
package group
