// Package placement chooses the member of a database group that runs a
// statement, and predicts how long it takes there.
package placement
