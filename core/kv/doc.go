// Package kv holds a host's view of a key-value store. The store loses a change that it has
// acknowledged only if it is restored from an older backup.
//
// A restore loses the changes made since the backup, with their leases, and the store assigns
// their revision numbers again to other changes. So a number may identify two different changes,
// and a smaller number may belong to the later one. A Revision therefore includes an epoch, which
// increases with each restore, and the revisions of all epochs are totally ordered. A View never
// returns to an earlier epoch, whatever its source, and enters a later one only with a full
// update.
//
// Some values carry their own version: a document with a version number, or an entry whose writer
// counts its writes. Such a version survives a restore. A View keeps the known value until the
// store holds one that is not older.
//
// The package does no I/O and does not read the time.
package kv
