package kv

import (
	"bytes"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a View.
var (
	// ErrStale means that an update is older than the view.
	ErrStale = errors.New("the source is behind")
	// ErrGap means that changes can't be applied because earlier changes are missing: the changes are of a later
	// epoch, or the view is empty. A full update is needed.
	ErrGap = errors.New("the changes are not contiguous with the known revision")
)

// NewerFunc reports whether the first value of a key is newer than the second, according to the versions that the values
// themselves carry. It returns false if they carry none.
type NewerFunc func(key string, first, second []byte) bool

// View is the known state of a store. Use NewView to create one. It is not safe for concurrent use.
type View struct {
	newer      NewerFunc
	items      map[string]Item
	revision   Revision
	history    history
	tombstones tombstones
}

// NewView returns an empty view. newer may be nil if no values carry versions.
func NewView(newer NewerFunc) *View { return &View{newer: newer, items: map[string]Item{}} }

// ApplyResult describes what an update changed in a view.
type ApplyResult struct {
	// Changed holds the changed items, in order of revision.
	Changed []Item
	// Rejected holds the items that were not applied although their values differ from the known ones.
	Rejected []Conflict
	// Restored is true if the update is of a later epoch than the view was. Replaced then holds the previous items of
	// the keys that were changed or removed by the restore.
	Restored bool
	Replaced []Item
	// PreviousRevision is the revision of the view before the update.
	PreviousRevision Revision
}

// Conflict is an item that was not applied, with the known item that was kept.
type Conflict struct{ Received, Known Item }

// Apply applies an update. It returns ErrStale or ErrGap, and changes nothing, if the update is older than the view or does
// not continue it.
func (v *View) Apply(u Update) (ApplyResult, error) {
	out := ApplyResult{PreviousRevision: v.revision}
	// A restored store counts from a smaller number. If hosts rejected its lists as outdated, or its items as older than
	// the known ones, they would serve removed routes until its number exceeded the old one.
	switch known, received := v.revision.Epoch(), u.Revision.Epoch(); {
	case received < known || u.Full && u.Revision < v.revision:
		return ApplyResult{}, errors.Wrapf(ErrStale, "revision %v, and %v is known", u.Revision, v.revision)
	case !u.Full && (received > known || v.revision == 0):
		return ApplyResult{}, errors.Wrapf(ErrGap, "revision %v, and %v is known", u.Revision, v.revision)
	default:
		out.Restored = received > known && v.revision != 0
	}
	if u.Full {
		// A host that has an older revision than this list needs all of it. A key that was created and removed before
		// the list is not in it, and a host that has seen only its creation would keep the key forever.
		v.history, v.tombstones = history{start: u.Revision}, tombstones{start: u.Revision}
	}
	items := slices.Clone(u.Items)
	if u.Full {
		items = append(items, v.missingKeys(u)...)
	}
	slices.SortStableFunc(items, compareRevisions)
	for _, i := range items {
		if _, known := v.items[i.Key]; !known && !u.Full && i.Revision <= out.PreviousRevision {
			continue // the view already knows that the key was removed later
		}
		v.applyItem(i, &out)
	}
	v.revision = max(v.revision, u.Revision)
	return out, nil
}

// missingKeys returns a removal for each known key that a full update does not contain.
func (v *View) missingKeys(u Update) []Item {
	received := make(map[string]bool, len(u.Items))
	for _, i := range u.Items {
		received[i.Key] = true
	}
	var out []Item
	for key, i := range v.items {
		if !received[key] && i.Revision <= u.Revision {
			out = append(out, Item{Key: key, Revision: u.Revision, Removed: true})
		}
	}
	return out
}

// applyItem applies a change unless a newer one of the key is known.
func (v *View) applyItem(i Item, out *ApplyResult) {
	old, known := v.items[i.Key]
	if known && old.Revision >= i.Revision || !known && i.Removed {
		if known && !i.Removed && !bytes.Equal(old.Value, i.Value) {
			out.Rejected = append(out.Rejected, Conflict{i, old})
		}
		return
	}
	if known && i.Revision.Epoch() > old.Revision.Epoch() {
		i = v.reconcileRestored(old, i, out)
	}
	out.Changed = append(out.Changed, i)
	v.history.add(i)
	if i.Removed {
		delete(v.items, i.Key)
		v.tombstones.add(i, max(minKeptChanges, len(v.items)))
		return
	}
	delete(v.tombstones.revisions, i.Key)
	v.items[i.Key] = i
}

// reconcileRestored returns the item to keep for a key that is known from an earlier epoch than that of received. A restored
// store may hold an older value of a key whose values carry versions: a revoked key of a client account would grant access
// again, and a member that is about to leave would get new work. The known value is kept until its writer writes the key
// again.
func (v *View) reconcileRestored(known, received Item, out *ApplyResult) Item {
	if !received.Removed && v.newer != nil && v.newer(received.Key, known.Value, received.Value) {
		out.Rejected = append(out.Rejected, Conflict{received, known})
		received.Value = known.Value
		return received
	}
	if received.Removed || !bytes.Equal(known.Value, received.Value) {
		out.Replaced = append(out.Replaced, known)
	}
	return received
}

// Revision returns the revision up to which the view includes all changes, or zero before the first update.
func (v *View) Revision() Revision { return v.revision }

// Item returns the known item of a key, and whether the key exists.
func (v *View) Item(key string) (Item, bool) {
	i, ok := v.items[key]
	return i, ok
}

// HasChangesSince reports whether the changes after the revision are known. If so, Since returns changes and no full update.
func (v *View) HasChangesSince(after Revision) bool {
	return after >= min(v.history.start, v.tombstones.start)
}

// Since returns an update with the changes after the revision: every single change while the history holds them, else the
// current items of the changed keys, or else a full update.
func (v *View) Since(after Revision) Update {
	out := Update{Snapshot: Snapshot{Revision: v.revision}}
	items, kept := v.history.since(after)
	if !kept {
		items, kept = v.changedSince(after)
	}
	if !kept {
		out.Full = true
		items = slices.Collect(maps.Values(v.items))
	}
	out.Items = items
	return out
}

// changedSince returns the current items of the keys that changed after the revision, or false if not all removals since
// then are known. The start of a large fleet makes more changes than the history keeps, and without this, hosts that lag
// behind would receive full updates again and again.
func (v *View) changedSince(after Revision) ([]Item, bool) {
	if after < v.tombstones.start {
		return nil, false
	}
	var out []Item
	for _, i := range v.items {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	for key, at := range v.tombstones.revisions {
		if at > after {
			out = append(out, Item{Key: key, Revision: at, Removed: true})
		}
	}
	slices.SortFunc(out, compareRevisions)
	return out, true
}
