package kv

import (
	"maps"
	"slices"
)

// tombstones keeps which keys were removed, so that a view can tell what changed without each change. The zero value is
// ready for use.
type tombstones struct {
	// revisions holds the revisions of the removals after from, by key.
	revisions map[string]Revision
	start     Revision
}

// add takes over the removal of a key. Of more than the given number the older half is dropped.
func (r *tombstones) add(i Item, most int) {
	if r.revisions == nil {
		r.revisions = map[string]Revision{}
	}
	r.revisions[i.Key] = i.Revision
	if len(r.revisions) <= most {
		return
	}
	revisions := slices.Sorted(maps.Values(r.revisions))
	r.start = revisions[len(revisions)/2]
	maps.DeleteFunc(r.revisions, func(_ string, at Revision) bool { return at <= r.start })
}
