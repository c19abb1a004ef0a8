// Package placement estimates the cost of running a statement on each member of a database group, by which a
// host chooses the member.
package placement
