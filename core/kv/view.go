package kv

import (
	"bytes"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a View.
var (
	// ErrStale means that a source knows less than the view.
	ErrStale = errors.New("the source is behind")
	// ErrGap means that changes do not follow on what the view holds, since they are of a later epoch, or it
	// holds nothing yet: a whole list is needed.
	ErrGap = errors.New("the changes do not follow on what is known")
)

// NewerFunc reports whether the first value of a key is of a later state than the second, by what the values themselves
// say. It returns false where they don't tell.
type NewerFunc func(key string, first, second []byte) bool

// View is what is known of a store. Use NewView. It is not safe for concurrent use.
type View struct {
	newer      NewerFunc
	items      map[string]Item
	revision   Revision
	history    history
	tombstones tombstones
}

// NewView returns a view that knows nothing.
func NewView(later NewerFunc) *View { return &View{newer: later, items: map[string]Item{}} }

// ApplyResult is what news changed in a view.
type ApplyResult struct {
	// Changed holds the changes of keys, in their order.
	Changed []Item
	// Rejected holds the items that were not taken though their value is another than the one known.
	Rejected []Conflict
	// Restored is true if the news are of a later epoch than what was known, and Former what was known of the keys
	// then that were changed or are gone.
	Restored bool
	Replaced []Item
	// PreviousRevision is the revision of the view before.
	PreviousRevision Revision
}

// Conflict is an item that was not taken, and the one that was known.
type Conflict struct{ Received, Known Item }

// Apply takes over news. It returns ErrBehind or ErrPartial, and changes nothing, if these are not to be had from them.
func (v *View) Apply(n Update) (ApplyResult, error) {
	out := ApplyResult{PreviousRevision: v.revision}
	// A store that came back counts from a smaller number. Hosts that took its lists for old ones, or its items for
	// older than those known, served dropped routes until its number had passed the old one.
	switch known, told := v.revision.Epoch(), n.Revision.Epoch(); {
	case told < known || n.Full && n.Revision < v.revision:
		return ApplyResult{}, errors.Wrapf(ErrStale, "revision %v, and %v is known", n.Revision, v.revision)
	case !n.Full && (told > known || v.revision == 0):
		return ApplyResult{}, errors.Wrapf(ErrGap, "revision %v, and %v is known", n.Revision, v.revision)
	default:
		out.Restored = told > known && v.revision != 0
	}
	if n.Full {
		// Whoever knows less than this list needs all of it: a key that came and went before it is in no list, and
		// whoever saw it come would believe in it for ever.
		v.history, v.tombstones = history{start: n.Revision}, tombstones{start: n.Revision}
	}
	items := slices.Clone(n.Items)
	if n.Full {
		items = append(items, v.missingKeys(n)...)
	}
	slices.SortStableFunc(items, compareRevisions)
	for _, i := range items {
		if _, known := v.items[i.Key]; !known && !n.Full && i.Revision <= out.PreviousRevision {
			continue // it was removed since, as is known
		}
		v.applyItem(i, &out)
	}
	v.revision = max(v.revision, n.Revision)
	return out, nil
}

// missingKeys returns the removal of each key that complete news no longer holds.
func (v *View) missingKeys(n Update) []Item {
	fresh := make(map[string]bool, len(n.Items))
	for _, i := range n.Items {
		fresh[i.Key] = true
	}
	var out []Item
	for key, i := range v.items {
		if !fresh[key] && i.Revision <= n.Revision {
			out = append(out, Item{Key: key, Revision: n.Revision, Removed: true})
		}
	}
	return out
}

// applyItem takes over a change, unless a newer one of the key is known.
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

// reconcileRestored returns what is to be believed of a key when the store has come back. A copy may hold an older value of
// a key whose values tell their age: a caller's key that was taken away would let callers in again, and a
// member that is about to leave would get new work. The known value stays until its writer has written again.
func (v *View) reconcileRestored(old, found Item, out *ApplyResult) Item {
	if !found.Removed && v.newer != nil && v.newer(found.Key, old.Value, found.Value) {
		out.Rejected = append(out.Rejected, Conflict{found, old})
		found.Value = old.Value
		return found
	}
	if found.Removed || !bytes.Equal(old.Value, found.Value) {
		out.Replaced = append(out.Replaced, old)
	}
	return found
}

// Revision returns the revision up to which the view knows all changes, or zero before the first news.
func (v *View) Revision() Revision { return v.revision }

// Item returns what is known of a key, and whether it exists.
func (v *View) Item(key string) (Item, bool) {
	i, ok := v.items[key]
	return i, ok
}

// HasChangesSince reports whether it is known what changed after the revision, so that Since does not tell everything.
func (v *View) HasChangesSince(after Revision) bool {
	return after >= min(v.history.start, v.tombstones.start)
}

// Since returns news that tell of all changes after the revision: of each change while they are kept, else of how the
// changed keys stand now, or of everything that there is.
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

// changedSince returns the keys that changed after the revision, or false if it is not known which were removed. The
// start of a large fleet changes more keys than the history keeps changes, and hosts that are behind would be sent
// everything again and again.
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
