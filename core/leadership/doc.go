// Package leadership decides which member of a group a host may treat as the primary.
//
// For each group, one host at a time holds the coordinator role, a lock in the platform's store. Only the
// coordinator may order the promotion of a member.
//
// A primary that was replaced during a network partition does not know it. It continues to answer reads from an
// outdated log, and its own claim to be the primary proves nothing. The coordinator therefore grants each host
// that serves the group a short lease on the primary, and orders no promotion until all leases have been revoked
// or have expired. A host with a valid lease knows without asking that no other member has acknowledged
// a write.
//
// A host gets no lease while it is uncertain which host holds the role. It may then probe all other members
// instead: if they report that they follow the primary, that proves the same. See PrimaryConfirmed.
//
// A Record in the platform's store holds what a new coordinator must know of its predecessor: the last promotion
// order, and the log position that a new primary must have.
//
// The package does no I/O. Callers pass times of a clock that continues while the machine is suspended.
package leadership
