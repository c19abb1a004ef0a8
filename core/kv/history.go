package kv

import (
	"cmp"
	"slices"
)

// history keeps a store's newest changes. The zero value is ready for use.
type history struct {
	// items are in order of their revisions.
	items []Item
	// from is the revision after which items holds all changes.
	from Revision
}

// maxChanges changes are kept at least: more than a restart of all hosts makes at the
// users' sites. A host that lacks more is sent everything.
const maxChanges = 512

func (c *history) add(i Item) {
	c.items = append(c.items, i)
	if n := len(c.items); n > 1 && i.Revision < c.items[n-2].Revision {
		slices.SortStableFunc(c.items, compareRevisions)
	}
	if len(c.items) < 2*maxChanges {
		return
	}
	c.from = max(c.from, c.items[maxChanges-1].Revision)
	c.items = slices.Clone(c.items[maxChanges:])
}

// since returns the changes after the revision, or false if they are no longer kept.
func (c *history) since(after Revision) ([]Item, bool) {
	if after < c.from {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(c.items, after+1, func(i Item, revision Revision) int {
		return cmp.Compare(i.Revision, revision)
	})
	return slices.Clone(c.items[first:]), true
}
