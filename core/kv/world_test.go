package kv

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// model is a store that may come back from an older copy, and hosts that learn from it and from each other.
type model struct {
	random  *rand.Rand
	now     Revision
	items   map[string]Item
	changes []Item
	copies  []model
	// counted is the number of writes to the key whose values count them, also of those that were lost.
	counted byte
	views   []*View
	// late holds answers that are still under way.
	late []lateNews
}

// lateNews is an answer to a host that asked for what changed after a revision. Changes come to no host that knows less
// than the one which asked; lists may come to any.
type lateNews struct {
	News
	after Revision
}

const plainKeys = 4

// write changes a key, or removes it. Values of "plain" keys repeat; those of "counted" never do.
func (m *model) write() {
	m.now++
	key := fmt.Sprint("plain-", m.random.IntN(plainKeys))
	i := Item{Key: key, Value: []byte{byte(m.random.IntN(5))}, Revision: m.now}
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

func (m *model) backup() {
	m.copies = append(m.copies, model{now: m.now, items: maps.Clone(m.items), changes: slices.Clone(m.changes)})
}

// restore brings the store back from a copy.
func (m *model) restore() {
	if len(m.copies) == 0 {
		return
	}
	from := m.copies[m.random.IntN(len(m.copies))]
	epoch := m.now.Epoch() + 1
	again := func(i Item) Item { i.Revision = At(epoch, i.Revision.Number()); return i }
	m.now, m.items, m.changes = At(epoch, from.now.Number()), map[string]Item{}, nil
	for key, i := range from.items {
		m.items[key] = again(i)
	}
	for _, i := range from.changes {
		m.changes = append(m.changes, again(i))
	}
}

// list is all that the store holds.
func (m *model) list() News {
	return News{Snapshot{slices.Collect(maps.Values(m.items)), m.now}, true}
}

// watch is what the store answers to a host that knows it up to a revision, by the number alone.
func (m *model) watch(after Revision) (News, bool) {
	if after.Number() > m.now.Number() {
		return News{}, false
	}
	out := News{Snapshot: Snapshot{Revision: m.now}}
	for _, i := range m.changes {
		if i.Revision.Number() > after.Number() {
			out.Items = append(out.Items, i)
		}
	}
	return out, true
}

// learn lets a host hear from the store, from another host, or a late answer.
func (m *model) learn(t *testing.T) {
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
				other.history = history{from: other.Revision()}
			}
			news = other.Since(v.Revision())
			m.check(t, other, v, news)
		}
	case 2:
		if len(m.late) > 0 {
			if late := m.late[m.random.IntN(len(m.late))]; late.Whole || v.Revision() >= late.after {
				news = late.News
			}
		}
	}
	if m.random.IntN(3) == 0 {
		m.late = append(m.late, lateNews{news, v.Revision()})
	}
	m.apply(t, v, news)
}

// apply lets a host take over news. What it believes must not become older.
func (m *model) apply(t *testing.T, v *View, news News) {
	before, counted := v.Revision(), count(v)
	_, err := v.Apply(news)
	if errors.Is(err, ErrPartial) {
		_, err = v.Apply(m.list())
	}
	if err != nil && !errors.Is(err, ErrBehind) {
		t.Fatal(err)
	}
	if v.Revision() < before {
		t.Fatalf("a host went back from %v to %v", before, v.Revision())
	}
	if count(v) < counted {
		t.Fatalf("a host went back from version %d to %d", counted, count(v))
	}
}

// check checks that a host which takes over another one's changes knows all that the other one does.
func (m *model) check(t *testing.T, from, to *View, news News) {
	if from.Keeps(to.Revision()) == news.Whole {
		t.Fatalf("changes after %v are kept: %t, and all is told: %t", to.Revision(), from.Keeps(to.Revision()), news.Whole)
	}
	if from.Revision() < to.Revision() {
		return // it has nothing to tell
	}
	copied := *to
	copied.items, copied.history = maps.Clone(to.items), history{from: to.history.from, items: slices.Clone(to.history.items)}
	copied.removals.at = maps.Clone(to.removals.at)
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

func count(v *View) byte {
	i, ok := v.Item("counted")
	if !ok {
		return 0
	}
	return i.Value[0]
}

// agree checks that each host knows what the store holds, once all have listed it.
func (m *model) agree(t *testing.T) {
	for n, v := range m.views {
		m.apply(t, v, m.list())
		for k := range plainKeys {
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
func TestViewsFollowAStoreThatGoesBack(t *testing.T) {
	for seed := range uint64(2000) {
		m := model{random: rand.New(rand.NewPCG(seed, 1)), items: map[string]Item{}}
		for range 3 {
			m.views = append(m.views, NewView(func(key string, first, second []byte) bool {
				return key == "counted" && first[0] > second[0]
			}))
		}
		m.now, m.counted = 1, 1 // a copy without the key tells nothing of its version
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
				m.learn(t)
			}
		}
		m.agree(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
