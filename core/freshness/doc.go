// Package freshness decides which members of a database group may answer a
// read, given the writes that the read's session must see and the freshness
// class of its route.
package freshness
