package kv

import "cmp"

// Item is the state of a key of the store, or its removal.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change.
	Revision Revision
	// Created is the number of the revision at which the key was created. A different number means that the key was
	// removed and created again. It is zero if it is not known. It has no epoch, since a restore keeps it.
	Created int64
	// Removed is true if the item is the removal of the key.
	Removed bool
}

// Snapshot is a set of items read at a revision.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Update is what a source sends about the store: either all items or changes.
type Update struct {
	Snapshot
	// Full is true if Items holds all items of the store. Otherwise it holds changes.
	Full bool
}

func compareRevisions(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) }
