package gateway

import (
	"errors"
	"slices"
	"testing"

	"pearlatch/core/kv"
)

// A member's entry is removed and written again between two looks at the store: the member may have
// started again with nothing, and what only it and the primary had acknowledged is gone. If the list
// hid that, a replica without those writes could be promoted, and callers would miss them.
func TestLapseBetweenReadsIsReported(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(l *memberTable)
		lapsed []string
	}{
		{"removed and written again", func(l *memberTable) {
			l.remove("members/a")
			l.put(kv.Item{Key: "members/a", Revision: 9, Created: 9}, Member{ID: "a", Group: "g"}, nil)
		}, []string{"a"}},
		{"only the later entry was seen", func(l *memberTable) {
			l.put(kv.Item{Key: "members/a", Revision: 9, Created: 8}, Member{ID: "a", Group: "g"}, nil)
		}, []string{"a"}},
		{"changed", func(l *memberTable) {
			l.put(kv.Item{Key: "members/a", Revision: 9, Created: 1}, Member{ID: "a", Group: "g", IsPrimary: true}, nil)
		}, nil},
		{"from a host that does not tell", func(l *memberTable) {
			l.put(kv.Item{Key: "members/a", Revision: 9}, Member{ID: "a", Group: "g", IsPrimary: true}, nil)
		}, nil},
		{"removed", func(l *memberTable) { l.remove("members/a") }, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newMemberTable()
			l.put(kv.Item{Key: "members/a", Revision: 1, Created: 1}, Member{ID: "a", Group: "g"}, nil)
			if _, changed := l.takeChanges()["g"]; !changed {
				t.Fatal("the first entry is no change")
			}
			c.change(&l)
			list, changed := l.takeChanges()["g"]
			if !changed || !slices.Equal(list.lapsed, c.lapsed) {
				t.Errorf("changed %v, lapsed %v, want %v", changed, list.lapsed, c.lapsed)
			}
			if _, again := l.takeChanges()["g"]; again {
				t.Error("the same change is told twice")
			}
		})
	}
}

// An entry that can't be read names no member until it can, and is told once.
func TestUnreadableEntryYieldsNoMember(t *testing.T) {
	l := newMemberTable()
	l.put(kv.Item{Key: "members/a", Revision: 1}, Member{ID: "a", Group: "g"}, nil)
	l.put(kv.Item{Key: "members/b", Revision: 2}, Member{ID: "b", Group: "g"}, nil)
	l.takeChanges()
	bad := errors.New("zone: missing")
	if !l.put(kv.Item{Key: "members/a", Revision: 3}, Member{}, bad) {
		t.Error("an entry that can't be read is not told")
	}
	if l.put(kv.Item{Key: "members/a", Revision: 4}, Member{}, bad) {
		t.Error("it is told again")
	}
	list := l.takeChanges()["g"]
	if len(list.members) != 1 || list.members[0].ID != "b" {
		t.Errorf("members %v, want b alone", list.members)
	}
	l.put(kv.Item{Key: "members/a", Revision: 5}, Member{ID: "a", Group: "g"}, nil)
	if list := l.takeChanges()["g"]; len(list.members) != 2 {
		t.Errorf("members %v, want two", list.members)
	}
}
