package kv

import (
	"bytes"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a View.
var (
	// ErrBehind means that a source knows less than the view.
	ErrBehind = errors.New("the source is behind")
	// ErrPartial means that changes do not follow on what the view holds, since they are of a later epoch, or it
	// holds nothing yet: a whole list is needed.
	ErrPartial = errors.New("the changes do not follow on what is known")
)

// Later reports whether the first value of a key is of a later state than the second, by what the values themselves
// say. It returns false where they don't tell.
type Later func(key string, first, second []byte) bool

// View is what is known of a store. Use NewView. It is not safe for concurrent use.
type View struct {
	later    Later
	items    map[string]Item
	revision Revision
	history  history
	removals removals
}

// NewView returns a view that knows nothing.
func NewView(later Later) *View { return &View{later: later, items: map[string]Item{}} }

// Applied is what news changed in a view.
type Applied struct {
	// Changed holds the changes of keys, in their order.
	Changed []Item
	// PassedOver holds the items that were not taken though their value is another than the one known.
	PassedOver []Collision
	// Restored is true if the news are of a later epoch than what was known, and Former what was known of the keys
	// then that were changed or are gone.
	Restored bool
	Former   []Item
	// Before is the revision of the view before.
	Before Revision
}

// Collision is an item that was not taken, and the one that was known.
type Collision struct{ Found, Known Item }

// Apply takes over news. It returns ErrBehind or ErrPartial, and changes nothing, if these are not to be had from them.
func (v *View) Apply(n News) (Applied, error) {
	out := Applied{Before: v.revision}
	// A store that came back counts from a smaller number. Hosts that took its lists for old ones, or its items for
	// older than those known, served dropped routes until its number had passed the old one.
	switch known, told := v.revision.Epoch(), n.Revision.Epoch(); {
	case told < known || n.Whole && n.Revision < v.revision:
		return Applied{}, errors.Wrapf(ErrBehind, "revision %v, and %v is known", n.Revision, v.revision)
	case !n.Whole && (told > known || v.revision == 0):
		return Applied{}, errors.Wrapf(ErrPartial, "revision %v, and %v is known", n.Revision, v.revision)
	default:
		out.Restored = told > known && v.revision != 0
	}
	if n.Whole {
		// Whoever knows less than this list needs all of it: a key that came and went before it is in no list, and
		// whoever saw it come would believe in it for ever.
		v.history, v.removals = history{from: n.Revision}, removals{from: n.Revision}
	}
	items := slices.Clone(n.Items)
	if n.Whole {
		items = append(items, v.vanished(n)...)
	}
	slices.SortStableFunc(items, compareRevisions)
	for _, i := range items {
		if _, known := v.items[i.Key]; !known && !n.Whole && i.Revision <= out.Before {
			continue // it was removed since, as is known
		}
		v.applyItem(i, &out)
	}
	v.revision = max(v.revision, n.Revision)
	return out, nil
}

// vanished returns the removal of each key that complete news no longer holds.
func (v *View) vanished(n News) []Item {
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
func (v *View) applyItem(i Item, out *Applied) {
	old, known := v.items[i.Key]
	if known && old.Revision >= i.Revision || !known && i.Removed {
		if known && !i.Removed && !bytes.Equal(old.Value, i.Value) {
			out.PassedOver = append(out.PassedOver, Collision{i, old})
		}
		return
	}
	if known && i.Revision.Epoch() > old.Revision.Epoch() {
		i = v.carryOver(old, i, out)
	}
	out.Changed = append(out.Changed, i)
	v.history.add(i)
	if i.Removed {
		delete(v.items, i.Key)
		v.removals.add(i, max(maxChanges, len(v.items)))
		return
	}
	delete(v.removals.at, i.Key)
	v.items[i.Key] = i
}

// carryOver returns what is to be believed of a key when the store has come back. A copy may hold an older value of
// a key whose values tell their age: a caller's key that was taken away would let callers in again, and a
// member that is about to leave would get new work. The known value stays until its writer has written again.
func (v *View) carryOver(old, found Item, out *Applied) Item {
	if !found.Removed && v.later != nil && v.later(found.Key, old.Value, found.Value) {
		out.PassedOver = append(out.PassedOver, Collision{found, old})
		found.Value = old.Value
		return found
	}
	if found.Removed || !bytes.Equal(old.Value, found.Value) {
		out.Former = append(out.Former, old)
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

// Keeps reports whether it is known what changed after the revision, so that Since does not tell everything.
func (v *View) Keeps(after Revision) bool { return after >= min(v.history.from, v.removals.from) }

// Since returns news that tell of all changes after the revision: of each change while they are kept, else of how the
// changed keys stand now, or of everything that there is.
func (v *View) Since(after Revision) News {
	out := News{Snapshot: Snapshot{Revision: v.revision}}
	items, kept := v.history.since(after)
	if !kept {
		items, kept = v.changedSince(after)
	}
	if !kept {
		out.Whole = true
		items = slices.Collect(maps.Values(v.items))
	}
	out.Items = items
	return out
}

// changedSince returns the keys that changed after the revision, or false if it is not known which were removed. The
// start of a large fleet changes more keys than the history keeps changes, and hosts that are behind would be sent
// everything again and again.
func (v *View) changedSince(after Revision) ([]Item, bool) {
	if after < v.removals.from {
		return nil, false
	}
	var out []Item
	for _, i := range v.items {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	for key, at := range v.removals.at {
		if at > after {
			out = append(out, Item{Key: key, Revision: at, Removed: true})
		}
	}
	slices.SortFunc(out, compareRevisions)
	return out, true
}
