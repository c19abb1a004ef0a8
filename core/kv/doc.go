// Package kv says what a host may believe of a key-value store that keeps what it has acknowledged, but for one
// case: the store may come back from an older copy.
//
// The changes made since the copy are gone then, with their leases, and their revisions are given out again for
// other changes. The same number may stand for two contents, and a smaller one may be the later. So a Revision
// counts in an epoch, which rises each time the store comes back; revisions of all epochs are in one
// order. A View of the store never returns to an earlier epoch, whoever tells of it, and takes over nothing but a
// whole list of a later one.
//
// What a value says of its own age outlasts the copy: a document with a version, or an entry that its writer
// counts. A View keeps the one that is known until the store shows one that is not older.
//
// The package does no I/O and knows no clock.
package kv
