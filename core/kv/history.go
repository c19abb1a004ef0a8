package kv

import (
	"cmp"
	"slices"
)

// history keeps the newest changes of a store. The zero value is ready for use.
type history struct {
	// changes are in order of revision.
	changes []Item
	// start is the revision after which changes is complete.
	start Revision
}

// minKeptChanges is the minimum number of changes kept. A restart of all hosts of a site
// makes fewer changes. A host that lacks more receives a full update.
const minKeptChanges = 512

func (h *history) add(i Item) {
	h.changes = append(h.changes, i)
	if n := len(h.changes); n > 1 && i.Revision < h.changes[n-2].Revision {
		slices.SortStableFunc(h.changes, compareRevisions)
	}
	if len(h.changes) < 2*minKeptChanges {
		return
	}
	h.start = max(h.start, h.changes[minKeptChanges-1].Revision)
	h.changes = slices.Clone(h.changes[minKeptChanges:])
}

// since returns the changes after the revision, or false if not all of them are kept.
func (h *history) since(after Revision) ([]Item, bool) {
	if after < h.start {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(h.changes, after+1, func(i Item, revision Revision) int {
		return cmp.Compare(i.Revision, revision)
	})
	return slices.Clone(h.changes[first:]), true
}
