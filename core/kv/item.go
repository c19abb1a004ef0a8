package kv

import "cmp"

// Item is a key of the store, or the removal of one.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change.
	Revision Revision
	// Created is the number of the revision at which the key came to be: another one means that it was removed in
	// between. It is zero where that is not known. A copy of the store keeps it, so it has no epoch.
	Created int64
	// Removed is true for an event that deletes the key.
	Removed bool
}

// Snapshot is a set of items that was read at a revision.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Update is what a source tells of the store.
type Update struct {
	Snapshot
	// Full is true when the items are all there are. Otherwise they are changes.
	Full bool
}

func compareRevisions(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) }
