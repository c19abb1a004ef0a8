package kv

import (
	"cmp"
	"slices"
)

// history keeps a store's newest changes. The zero value is ready for use.
type history struct {
	// changes are in order of their revisions.
	changes []Item
	// start is the revision after which items holds all changes.
	start Revision
}

// minKeptChanges changes are kept at least: more than a restart of all hosts makes at the
// users' sites. A host that lacks more is sent everything.
const minKeptChanges = 512

func (c *history) add(i Item) {
	c.changes = append(c.changes, i)
	if n := len(c.changes); n > 1 && i.Revision < c.changes[n-2].Revision {
		slices.SortStableFunc(c.changes, compareRevisions)
	}
	if len(c.changes) < 2*minKeptChanges {
		return
	}
	c.start = max(c.start, c.changes[minKeptChanges-1].Revision)
	c.changes = slices.Clone(c.changes[minKeptChanges:])
}

// since returns the changes after the revision, or false if they are no longer kept.
func (c *history) since(after Revision) ([]Item, bool) {
	if after < c.start {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(c.changes, after+1, func(i Item, revision Revision) int {
		return cmp.Compare(i.Revision, revision)
	})
	return slices.Clone(c.changes[first:]), true
}
