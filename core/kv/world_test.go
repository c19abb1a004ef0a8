package kv

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// storeModel is a store that may come back from an older copy, and hosts that learn from it and from each other.
type storeModel struct {
	random   *rand.Rand
	revision Revision
	items    map[string]Item
	changes  []Item
	backups  []storeModel
	// counted is the number of writes to the key whose values count them, also of those that were lost.
	counted byte
	views   []*View
	// delayed holds answers that are still under way.
	delayed []delayedUpdate
}

// delayedUpdate is an answer to a host that asked for what changed after a revision. Changes come to no host that knows less
// than the one which asked; lists may come to any.
type delayedUpdate struct {
	Update
	after Revision
}

const plainKeyCount = 4

// write changes a key, or removes it. Values of "plain" keys repeat; those of "counted" never do.
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

// restore brings the store back from a copy.
func (m *storeModel) restore() {
	if len(m.backups) == 0 {
		return
	}
	from := m.backups[m.random.IntN(len(m.backups))]
	epoch := m.revision.Epoch() + 1
	again := func(i Item) Item { i.Revision = NewRevision(epoch, i.Revision.Number()); return i }
	m.revision, m.items, m.changes = NewRevision(epoch, from.revision.Number()), map[string]Item{}, nil
	for key, i := range from.items {
		m.items[key] = again(i)
	}
	for _, i := range from.changes {
		m.changes = append(m.changes, again(i))
	}
}

// list is all that the store holds.
func (m *storeModel) list() Update {
	return Update{Snapshot{slices.Collect(maps.Values(m.items)), m.revision}, true}
}

// watch is what the store answers to a host that knows it up to a revision, by the number alone.
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

// deliver lets a host hear from the store, from another host, or a late answer.
func (m *storeModel) deliver(t *testing.T) {
	v := m.views[m.random.IntN(len(m.views))]
	news := m.list()
	switch m.random.IntN(4) {
	case 0:
		if n, ok := m.watch(v.Revision()); ok {
			news = n
		}
	case 1:
		if other := m.views[m.random.IntN(len(m.views))]; other.Revision() != 0 {
			if m.random.IntN(2) == 0 { // the changes themselves are not kept any more
				other.history = history{start: other.Revision()}
			}
			news = other.Since(v.Revision())
			m.checkSince(t, other, v, news)
		}
	case 2:
		if len(m.delayed) > 0 {
			if late := m.delayed[m.random.IntN(len(m.delayed))]; late.Full || v.Revision() >= late.after {
				news = late.Update
			}
		}
	}
	if m.random.IntN(3) == 0 {
		m.delayed = append(m.delayed, delayedUpdate{news, v.Revision()})
	}
	m.apply(t, v, news)
}

// apply lets a host take over news. What it believes must not become older.
func (m *storeModel) apply(t *testing.T, v *View, news Update) {
	before, counted := v.Revision(), countedValue(v)
	_, err := v.Apply(news)
	if errors.Is(err, ErrGap) {
		_, err = v.Apply(m.list())
	}
	if err != nil && !errors.Is(err, ErrStale) {
		t.Fatal(err)
	}
	if v.Revision() < before {
		t.Fatalf("a host went back from %v to %v", before, v.Revision())
	}
	if countedValue(v) < counted {
		t.Fatalf("a host went back from version %d to %d", counted, countedValue(v))
	}
}

// checkSince checks that a host which takes over another one's changes knows all that the other one does.
func (m *storeModel) checkSince(t *testing.T, from, to *View, news Update) {
	if from.HasChangesSince(to.Revision()) == news.Full {
		t.Fatalf("changes after %v are kept: %t, and all is told: %t", to.Revision(), from.HasChangesSince(to.Revision()), news.Full)
	}
	if from.Revision() < to.Revision() {
		return // it has nothing to tell
	}
	copied := *to
	copied.items, copied.history = maps.Clone(to.items), history{start: to.history.start, changes: slices.Clone(to.history.changes)}
	copied.tombstones.revisions = maps.Clone(to.tombstones.revisions)
	if _, err := copied.Apply(news); err != nil {
		return
	}
	for key, want := range from.items {
		if have, ok := copied.items[key]; !ok || have.Revision < want.Revision {
			t.Fatalf("%s is %v after the changes since %v, want %v", key, have, to.Revision(), want)
		}
	}
	for key, have := range copied.items {
		if _, ok := from.items[key]; !ok && have.Revision <= from.Revision() {
			t.Fatalf("%s is believed in still, and gone since %v", key, from.Revision())
		}
	}
}

func countedValue(v *View) byte {
	i, ok := v.Item("counted")
	if !ok {
		return 0
	}
	return i.Value[0]
}

// checkConvergence checks that each host knows what the store holds, once all have listed it.
func (m *storeModel) checkConvergence(t *testing.T) {
	for n, v := range m.views {
		m.apply(t, v, m.list())
		for k := range plainKeyCount {
			key := fmt.Sprint("plain-", k)
			have, ok := v.Item(key)
			want, exists := m.items[key]
			if ok != exists || string(have.Value) != string(want.Value) {
				t.Fatalf("host %d believes %q of %s, the store holds %q", n, have.Value, key, want.Value)
			}
		}
	}
}

// Hosts learn from the store and from each other while it comes back from older copies time and again, also when it
// lists the same numbers for other contents, and answers come late. Once they have listed the store they know what it
// holds, and meanwhile none of them goes back to an older revision or version.
func TestViewsConvergeAfterStoreRestores(t *testing.T) {
	for seed := range uint64(2000) {
		m := storeModel{random: rand.New(rand.NewPCG(seed, 1)), items: map[string]Item{}}
		for range 3 {
			m.views = append(m.views, NewView(func(key string, first, second []byte) bool {
				return key == "counted" && first[0] > second[0]
			}))
		}
		m.revision, m.counted = 1, 1 // a copy without the key tells nothing of its version
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
