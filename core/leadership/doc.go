// Package leadership decides who may take which member of a group for its primary.
//
// A primary that was replaced while it was cut off does not know it: it goes on to
// answer reads from an old log, and its own word proves nothing. So the host that
// holds the group's promotion duty grants each host that serves the group a short
// lease on the primary, and orders no promotion before all leases have been given back
// or have run out. Whoever holds a lease needs no question to know that no other
// member has acknowledged anything.
//
// Where no lease is to be had, because nobody certainly holds the duty, all other
// members prove the same by saying that they follow, see Unchallenged.
//
// What a holder of the duty must know of its predecessor is in a Record, which lies in
// the platform's store: the last order, and what a successor's log must hold.
//
// The package does no I/O. Callers pass times of a clock that goes on while the machine
// is suspended.
package leadership
