package kv

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// fullUpdate and part return news with items that were all written at their revisions.
func fullUpdate(at Revision, items ...Item) Update {
	return Update{Snapshot{items, at}, true}
}

func deltaUpdate(at Revision, items ...Item) Update {
	return Update{Snapshot{items, at}, false}
}

func item(key, value string, at Revision) Item {
	return Item{Key: key, Value: []byte(value), Revision: at}
}

// newerByFirstByte compares values that count their writes with their first letter. Those of "plain" don't count.
func newerByFirstByte(key string, first, second []byte) bool {
	return key != "plain" && bytes.Compare(first[:1], second[:1]) > 0
}

func TestViewAfterRestore(t *testing.T) {
	known := []Item{item("config", "3", 37), item("plain", "x", 35), item("gone", "1", 36), item("same", "1", 12)}
	for _, c := range []struct {
		name string
		news Update
		err  error
		// want holds the values of config, plain and gone.
		want     [3]string
		restored bool
	}{
		{"a smaller number in the same epoch", fullUpdate(30, item("config", "2", 30)), ErrStale, [3]string{"3", "x", "1"}, false},
		{"a later epoch with an older copy", fullUpdate(NewRevision(1, 30), item("config", "2", NewRevision(1, 20)), item("plain", "w", NewRevision(1, 21)), item("same", "1", NewRevision(1, 12))), nil, [3]string{"3", "w", ""}, true},
		{"a later epoch in which the operator has written", fullUpdate(NewRevision(1, 33), item("config", "4", NewRevision(1, 33)), item("plain", "x", NewRevision(1, 21))), nil, [3]string{"4", "x", ""}, true},
		{"late changes of an earlier epoch", deltaUpdate(NewRevision(-1, 50), item("config", "4", NewRevision(-1, 50))), ErrStale, [3]string{"3", "x", "1"}, false},
		{"changes of a later epoch alone", deltaUpdate(NewRevision(1, 33), item("config", "4", NewRevision(1, 33))), ErrGap, [3]string{"3", "x", "1"}, false},
		{"the number that is known, in a later epoch", fullUpdate(NewRevision(2, 37), item("config", "5", NewRevision(2, 37))), nil, [3]string{"5", "", ""}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := NewView(newerByFirstByte)
			if _, err := v.Apply(fullUpdate(37, known...)); err != nil {
				t.Fatal(err)
			}
			got, err := v.Apply(c.news)
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

// A host that missed the store's return asks another one for what changed after the revision that it knows. It must be
// sent everything: changes of a later epoch don't follow on what it knows.
func TestDeltaDoesNotSpanEpochs(t *testing.T) {
	v := NewView(nil)
	apply(t, v, fullUpdate(37, item("a", "1", 37)))
	apply(t, v, deltaUpdate(38, item("b", "1", 38)))
	if n := v.Since(37); n.Full || len(n.Items) != 1 {
		t.Errorf("%+v", n)
	}
	apply(t, v, fullUpdate(NewRevision(1, 20), item("a", "1", NewRevision(1, 20))))
	if n := v.Since(38); !n.Full || len(n.Items) != 1 {
		t.Errorf("%+v", n)
	}
	apply(t, v, deltaUpdate(NewRevision(1, 21), item("c", "1", NewRevision(1, 21))))
	if n := v.Since(NewRevision(1, 20)); n.Full || len(n.Items) != 1 {
		t.Errorf("%+v", n)
	}
}

// When a fleet of a thousand starts, six thousand keys are written within seconds. Hosts that were more than the kept
// changes behind were sent the whole list at each look, by a host whose memory that filled. They are sent the keys that
// changed since, each once.
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
			apply(t, v, deltaUpdate(at, item(fmt.Sprint("new-", i), "1", at)))
		}
	}
	at++
	apply(t, v, deltaUpdate(at, Item{Key: "old-7", Revision: at, Removed: true}))
	n := v.Since(old)
	if n.Full || len(n.Items) != fresh+1 || !slices.IsSortedFunc(n.Items, compareRevisions) {
		t.Errorf("whole %t, %d items, want %d", n.Full, len(n.Items), fresh+1)
	}
	if last := n.Items[len(n.Items)-1]; last.Key != "old-7" || !last.Removed {
		t.Errorf("the last change is %+v", last)
	}
}

// A host lists the store, misses that a key comes and goes, and lists it again. Another one that saw the key come asks it
// for what changed since: it must not go on to believe in the key.
func TestKeyCreatedAndRemovedBetweenListsIsGone(t *testing.T) {
	feeder, follower := NewView(nil), NewView(nil)
	for _, v := range []*View{feeder, follower} {
		apply(t, v, fullUpdate(5, item("a", "1", 5)))
	}
	apply(t, follower, deltaUpdate(6, item("short", "1", 6)))
	apply(t, feeder, fullUpdate(7, item("a", "1", 5)))
	apply(t, follower, feeder.Since(follower.Revision()))
	if i, ok := follower.Item("short"); ok {
		t.Errorf("%+v is believed in still", i)
	}
}

// The keys that were removed are not kept for ever: whoever may have missed one that is forgotten is sent everything.
func TestSinceReturnsFullUpdateAfterTombstonesAreDropped(t *testing.T) {
	v := NewView(nil)
	apply(t, v, fullUpdate(1, item("kept", "1", 1)))
	at := Revision(1)
	for i := range 6 * minKeptChanges {
		key := fmt.Sprint("k-", i)
		apply(t, v, deltaUpdate(at+1, item(key, "1", at+1)))
		apply(t, v, deltaUpdate(at+2, Item{Key: key, Revision: at + 2, Removed: true}))
		at += 2
	}
	if n := v.Since(2); !n.Full || len(n.Items) != 1 {
		t.Errorf("whole %t, %d items", n.Full, len(n.Items))
	}
	if len(v.tombstones.revisions) > minKeptChanges {
		t.Errorf("%d removals are kept", len(v.tombstones.revisions))
	}
}

// What the store has lost is told once, so that those who know it can write it again.
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
		t.Errorf("former items %v", keys)
	}
	if len(got.Rejected) != 1 || got.Rejected[0].Received.Key != "config" {
		t.Errorf("passed over %v", got.Rejected)
	}
}

func apply(t *testing.T, v *View, n Update) ApplyResult {
	t.Helper()
	out, err := v.Apply(n)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
