// Package leadership decides which member of a group a host may treat as the primary.
//
// For each group, one host at a time holds the promotion duty, a lock in the platform's store. Only the holder
// of the duty may order that a member is promoted.
//
// A primary that was replaced during a network partition does not know it. It continues to answer reads from an
// outdated log, and its own claim to be the primary proves nothing. The holder of the duty therefore grants each
// host that serves the group a short lease on the primary, and orders no promotion until all leases have been
// returned or have expired. A host with a valid lease knows without asking that no other member has acknowledged
// a write.
//
// Without a lease, because no host certainly holds the duty, a host gets the same proof from all other members
// if they report that they follow the primary. See PrimaryConfirmed.
//
// A Record in the platform's store holds what a new holder of the duty must know of its predecessor: the last
// promotion order, and the log position that a successor must have.
//
// The package does no I/O. Callers pass times of a clock that continues while the machine is suspended.
package leadership
