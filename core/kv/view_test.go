package kv

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// fullUpdate returns an update with all items of the store at a revision.
func fullUpdate(at Revision, items ...Item) Update {
	return Update{Snapshot{items, at}, true}
}

// partialUpdate returns an update with changes up to a revision.
func partialUpdate(at Revision, items ...Item) Update {
	return Update{Snapshot{items, at}, false}
}

func item(key, value string, at Revision) Item {
	return Item{Key: key, Value: []byte(value), Revision: at}
}

// newerByFirstByte compares values whose first byte is their version. Values of the key "plain" have no version.
func newerByFirstByte(key string, first, second []byte) bool {
	return key != "plain" && bytes.Compare(first[:1], second[:1]) > 0
}

func TestViewAfterRestore(t *testing.T) {
	known := []Item{item("config", "3", 37), item("plain", "x", 35), item("gone", "1", 36), item("same", "1", 12)}
	for _, c := range []struct {
		name   string
		update Update
		err    error
		// want holds the values of config, plain and gone.
		want     [3]string
		restored bool
	}{
		{"a smaller number in the same epoch", fullUpdate(30, item("config", "2", 30)), ErrStale, [3]string{"3", "x", "1"}, false},
		{"a later epoch restored from an older backup", fullUpdate(NewRevision(1, 30), item("config", "2", NewRevision(1, 20)), item("plain", "w", NewRevision(1, 21)), item("same", "1", NewRevision(1, 12))), nil, [3]string{"3", "w", ""}, true},
		{"a later epoch with a new write of the operator", fullUpdate(NewRevision(1, 33), item("config", "4", NewRevision(1, 33)), item("plain", "x", NewRevision(1, 21))), nil, [3]string{"4", "x", ""}, true},
		{"delayed changes of an earlier epoch", partialUpdate(NewRevision(-1, 50), item("config", "4", NewRevision(-1, 50))), ErrStale, [3]string{"3", "x", "1"}, false},
		{"only changes of a later epoch", partialUpdate(NewRevision(1, 33), item("config", "4", NewRevision(1, 33))), ErrGap, [3]string{"3", "x", "1"}, false},
		{"the known number in a later epoch", fullUpdate(NewRevision(2, 37), item("config", "5", NewRevision(2, 37))), nil, [3]string{"5", "", ""}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := NewView(newerByFirstByte)
			if _, err := v.Apply(fullUpdate(37, known...)); err != nil {
				t.Fatal(err)
			}
			got, err := v.Apply(c.update)
			if !errors.Is(err, c.err) || got.Restored != c.restored {
				t.Errorf("%v, restored %v", err, got.Restored)
			}
			for i, key := range []string{"config", "plain", "gone"} {
				if have, _ := v.Item(key); string(have.Value) != c.want[i] {
					t.Errorf("%s is %q, want %q", key, have.Value, c.want[i])
				}
			}
		})
	}
}

// A host that missed a restore of the store requests from another host the changes after its revision. It must receive a
// full update, since changes of a later epoch do not continue an earlier one.
func TestPartialUpdateDoesNotSpanEpochs(t *testing.T) {
	v := NewView(nil)
	apply(t, v, fullUpdate(37, item("a", "1", 37)))
	apply(t, v, partialUpdate(38, item("b", "1", 38)))
	if u := v.Since(37); u.Full || len(u.Items) != 1 {
		t.Errorf("%+v", u)
	}
	apply(t, v, fullUpdate(NewRevision(1, 20), item("a", "1", NewRevision(1, 20))))
	if u := v.Since(38); !u.Full || len(u.Items) != 1 {
		t.Errorf("%+v", u)
	}
	apply(t, v, partialUpdate(NewRevision(1, 21), item("c", "1", NewRevision(1, 21))))
	if u := v.Since(NewRevision(1, 20)); u.Full || len(u.Items) != 1 {
		t.Errorf("%+v", u)
	}
}

// When a fleet of a thousand hosts starts, six thousand keys are written within seconds. Hosts that lagged by more than the
// kept changes received a full update for every request, which filled the memory of the sending host. They must receive each
// key that changed since, once.
func TestSinceReturnsChangedKeysAfterHistoryOverflow(t *testing.T) {
	const old, fresh = 20 * minKeptChanges, 4 * minKeptChanges
	v := NewView(nil)
	var items []Item
	for i := range old {
		items = append(items, item(fmt.Sprint("old-", i), "1", Revision(i+1)))
	}
	apply(t, v, fullUpdate(old, items...))
	at := Revision(old)
	for i := range fresh {
		for range 2 { // each key is written twice
			at++
			apply(t, v, partialUpdate(at, item(fmt.Sprint("new-", i), "1", at)))
		}
	}
	at++
	apply(t, v, partialUpdate(at, Item{Key: "old-7", Revision: at, Removed: true}))
	u := v.Since(old)
	if u.Full || len(u.Items) != fresh+1 || !slices.IsSortedFunc(u.Items, compareRevisions) {
		t.Errorf("full %t, %d items, want %d", u.Full, len(u.Items), fresh+1)
	}
	if last := u.Items[len(u.Items)-1]; last.Key != "old-7" || !last.Removed {
		t.Errorf("the last change is %+v, want the removal of old-7", last)
	}
}

// A host lists the store, misses the creation and removal of a key, and lists the store again. Another host has seen only
// the creation and requests the changes since then from the first one. It must not keep the key.
func TestKeyCreatedAndRemovedBetweenListsIsGone(t *testing.T) {
	source, follower := NewView(nil), NewView(nil)
	for _, v := range []*View{source, follower} {
		apply(t, v, fullUpdate(5, item("a", "1", 5)))
	}
	apply(t, follower, partialUpdate(6, item("short", "1", 6)))
	apply(t, source, fullUpdate(7, item("a", "1", 5)))
	apply(t, follower, source.Since(follower.Revision()))
	if i, ok := follower.Item("short"); ok {
		t.Errorf("%+v is still known", i)
	}
}

// Tombstones are not kept forever. A host that may have missed a removal whose tombstone was dropped must receive a full
// update.
func TestSinceReturnsFullUpdateAfterTombstonesAreDropped(t *testing.T) {
	v := NewView(nil)
	apply(t, v, fullUpdate(1, item("kept", "1", 1)))
	at := Revision(1)
	for i := range 6 * minKeptChanges {
		key := fmt.Sprint("k-", i)
		apply(t, v, partialUpdate(at+1, item(key, "1", at+1)))
		apply(t, v, partialUpdate(at+2, Item{Key: key, Revision: at + 2, Removed: true}))
		at += 2
	}
	if u := v.Since(2); !u.Full || len(u.Items) != 1 {
		t.Errorf("full %t, %d items", u.Full, len(u.Items))
	}
	if len(v.tombstones.revisions) > minKeptChanges {
		t.Errorf("%d tombstones are kept", len(v.tombstones.revisions))
	}
}

// Apply must return the items that a restore has lost once, so that their writers can write them again.
func TestApplyReportsReplacedItems(t *testing.T) {
	v := NewView(newerByFirstByte)
	apply(t, v, fullUpdate(37, item("plain", "y", 36), item("same", "1", 12), item("gone", "2", 37), item("config", "3", 30)))
	got := apply(t, v, fullUpdate(NewRevision(1, 30), item("plain", "x", NewRevision(1, 20)), item("same", "1", NewRevision(1, 12)), item("config", "2", NewRevision(1, 9))))
	var keys []string
	for _, i := range got.Replaced {
		keys = append(keys, i.Key)
	}
	slices.Sort(keys)
	if !slices.Equal(keys, []string{"gone", "plain"}) {
		t.Errorf("replaced items %v", keys)
	}
	if len(got.Rejected) != 1 || got.Rejected[0].Received.Key != "config" {
		t.Errorf("rejected items %v", got.Rejected)
	}
}

func apply(t *testing.T, v *View, u Update) ApplyResult {
	t.Helper()
	out, err := v.Apply(u)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
