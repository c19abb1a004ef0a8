package kv

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// storeModel is a store that may be restored from older backups, with hosts that receive updates from it and from each
// other.
type storeModel struct {
	random   *rand.Rand
	revision Revision
	items    map[string]Item
	changes  []Item
	backups  []storeModel
	// counted is the number of writes to the key "counted", including writes that a restore has lost. The value of the
	// key is that number.
	counted byte
	views   []*View
	// delayed holds updates that may still be delivered later.
	delayed []delayedUpdate
}

// delayedUpdate is an update sent to a host that requested the changes after a revision. Changes are only delivered to hosts
// that know at least that revision; full updates may be delivered to any host.
type delayedUpdate struct {
	Update
	after Revision
}

const plainKeyCount = 4

// write changes or removes a random key. Values of "plain" keys repeat; those of "counted" never do.
func (m *storeModel) write() {
	m.revision++
	key := fmt.Sprint("plain-", m.random.IntN(plainKeyCount))
	i := Item{Key: key, Value: []byte{byte(m.random.IntN(5))}, Revision: m.revision}
	switch m.random.IntN(5) {
	case 0:
		m.counted++
		i.Key, i.Value = "counted", []byte{m.counted}
	case 1:
		i.Removed, i.Value = true, nil
	}
	if delete(m.items, i.Key); !i.Removed {
		m.items[i.Key] = i
	}
	m.changes = append(m.changes, i)
}

func (m *storeModel) backup() {
	m.backups = append(m.backups, storeModel{revision: m.revision, items: maps.Clone(m.items), changes: slices.Clone(m.changes)})
}

// restore restores the store from a random backup in a new epoch.
func (m *storeModel) restore() {
	if len(m.backups) == 0 {
		return
	}
	from := m.backups[m.random.IntN(len(m.backups))]
	epoch := m.revision.Epoch() + 1
	inEpoch := func(i Item) Item { i.Revision = NewRevision(epoch, i.Revision.Number()); return i }
	m.revision, m.items, m.changes = NewRevision(epoch, from.revision.Number()), map[string]Item{}, nil
	for key, i := range from.items {
		m.items[key] = inEpoch(i)
	}
	for _, i := range from.changes {
		m.changes = append(m.changes, inEpoch(i))
	}
}

// list returns a full update.
func (m *storeModel) list() Update {
	return Update{Snapshot{slices.Collect(maps.Values(m.items)), m.revision}, true}
}

// watch returns the changes after a revision, or false if the store has not reached it. Like the store, it compares only
// the numbers, without the epochs.
func (m *storeModel) watch(after Revision) (Update, bool) {
	if after.Number() > m.revision.Number() {
		return Update{}, false
	}
	out := Update{Snapshot: Snapshot{Revision: m.revision}}
	for _, i := range m.changes {
		if i.Revision.Number() > after.Number() {
			out.Items = append(out.Items, i)
		}
	}
	return out, true
}

// deliver applies an update to a random host: from the store, from another host, or a delayed one.
func (m *storeModel) deliver(t *testing.T) {
	v := m.views[m.random.IntN(len(m.views))]
	update := m.list()
	switch m.random.IntN(4) {
	case 0:
		if u, ok := m.watch(v.Revision()); ok {
			update = u
		}
	case 1:
		if other := m.views[m.random.IntN(len(m.views))]; other.Revision() != 0 {
			if m.random.IntN(2) == 0 { // single changes are no longer kept
				other.history = history{start: other.Revision()}
			}
			update = other.Since(v.Revision())
			m.checkSince(t, other, v, update)
		}
	case 2:
		if len(m.delayed) > 0 {
			if d := m.delayed[m.random.IntN(len(m.delayed))]; d.Full || v.Revision() >= d.after {
				update = d.Update
			}
		}
	}
	if m.random.IntN(3) == 0 {
		m.delayed = append(m.delayed, delayedUpdate{update, v.Revision()})
	}
	m.apply(t, v, update)
}

// apply applies an update to a host, and checks that neither its revision nor its counted value decreases.
func (m *storeModel) apply(t *testing.T, v *View, update Update) {
	before, counted := v.Revision(), countedValue(v)
	_, err := v.Apply(update)
	if errors.Is(err, ErrGap) {
		_, err = v.Apply(m.list())
	}
	if err != nil && !errors.Is(err, ErrStale) {
		t.Fatal(err)
	}
	if v.Revision() < before {
		t.Fatalf("the revision of a host decreased from %v to %v", before, v.Revision())
	}
	if countedValue(v) < counted {
		t.Fatalf("the counted value of a host decreased from %d to %d", counted, countedValue(v))
	}
}

// checkSince checks that a host that applies an update from another host then knows everything that the other host does.
func (m *storeModel) checkSince(t *testing.T, from, to *View, update Update) {
	if from.HasChangesSince(to.Revision()) == update.Full {
		t.Fatalf("changes after %v are known: %t, and the update is full: %t", to.Revision(), from.HasChangesSince(to.Revision()), update.Full)
	}
	if from.Revision() < to.Revision() {
		return // from is behind to
	}
	copied := *to
	copied.items, copied.history = maps.Clone(to.items), history{start: to.history.start, changes: slices.Clone(to.history.changes)}
	copied.tombstones.revisions = maps.Clone(to.tombstones.revisions)
	if _, err := copied.Apply(update); err != nil {
		return
	}
	for key, want := range from.items {
		if have, ok := copied.items[key]; !ok || have.Revision < want.Revision {
			t.Fatalf("%s is %v after the update since %v, want %v", key, have, to.Revision(), want)
		}
	}
	for key, have := range copied.items {
		if _, ok := from.items[key]; !ok && have.Revision <= from.Revision() {
			t.Fatalf("%s is still known, but was removed by %v", key, from.Revision())
		}
	}
}

// countedValue returns the known value of the key "counted", or zero.
func countedValue(v *View) byte {
	i, ok := v.Item("counted")
	if !ok {
		return 0
	}
	return i.Value[0]
}

// checkConvergence checks that every host knows the store's items after it has listed the store.
func (m *storeModel) checkConvergence(t *testing.T) {
	for n, v := range m.views {
		m.apply(t, v, m.list())
		for k := range plainKeyCount {
			key := fmt.Sprint("plain-", k)
			have, ok := v.Item(key)
			want, exists := m.items[key]
			if ok != exists || string(have.Value) != string(want.Value) {
				t.Fatalf("host %d has %q for %s, the store holds %q", n, have.Value, key, want.Value)
			}
		}
	}
}

// The store is repeatedly restored from older backups and assigns the same numbers to other changes, while hosts receive
// updates from the store and from each other, some of them delayed. The revision and the counted value of a host must never
// decrease, and after listing the store every host must know its items.
func TestViewsConvergeAfterStoreRestores(t *testing.T) {
	for seed := range uint64(2000) {
		m := storeModel{random: rand.New(rand.NewPCG(seed, 1)), items: map[string]Item{}}
		for range 3 {
			m.views = append(m.views, NewView(func(key string, first, second []byte) bool {
				return key == "counted" && first[0] > second[0]
			}))
		}
		m.revision, m.counted = 1, 1 // a backup without the key has no version of it
		m.items["counted"] = Item{Key: "counted", Value: []byte{1}, Revision: 1}
		for range 60 {
			switch m.random.IntN(8) {
			case 0, 1, 2:
				m.write()
			case 3:
				m.backup()
			case 4:
				if m.random.IntN(3) == 0 {
					m.restore()
				}
			default:
				m.deliver(t)
			}
		}
		m.checkConvergence(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
