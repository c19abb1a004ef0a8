package kv

import (
	"maps"
	"slices"
)

// removals keeps which keys were removed, so that a view can tell what changed without each change. The zero value is
// ready for use.
type removals struct {
	// at holds the revisions of the removals after from, by key.
	at   map[string]Revision
	from Revision
}

// add takes over the removal of a key. Of more than the given number the older half is dropped.
func (r *removals) add(i Item, most int) {
	if r.at == nil {
		r.at = map[string]Revision{}
	}
	r.at[i.Key] = i.Revision
	if len(r.at) <= most {
		return
	}
	revisions := slices.Sorted(maps.Values(r.at))
	r.from = revisions[len(revisions)/2]
	maps.DeleteFunc(r.at, func(_ string, at Revision) bool { return at <= r.from })
}
