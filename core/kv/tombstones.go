package kv

import (
	"maps"
	"slices"
)

// tombstones keeps the keys that were removed, so that a view can tell which keys changed without keeping every change.
// The zero value is ready for use.
type tombstones struct {
	// revisions holds, by key, the revisions of the removals after start.
	revisions map[string]Revision
	start     Revision
}

// add records the removal of a key. If there are more than limit keys, the older half is dropped.
func (r *tombstones) add(i Item, limit int) {
	if r.revisions == nil {
		r.revisions = map[string]Revision{}
	}
	r.revisions[i.Key] = i.Revision
	if len(r.revisions) <= limit {
		return
	}
	sorted := slices.Sorted(maps.Values(r.revisions))
	r.start = sorted[len(sorted)/2]
	maps.DeleteFunc(r.revisions, func(_ string, at Revision) bool { return at <= r.start })
}
