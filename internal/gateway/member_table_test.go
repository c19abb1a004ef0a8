package gateway

import (
	"errors"
	"slices"
	"testing"

	"pearlatch/core/kv"
)

// Guards against a missed restart of a member whose entry is removed and written again between two
// reads of the store. The member may have lost its data, and with it what only it and the primary had
// acknowledged. If the table did not report the removal, a replica without those writes could be
// promoted, and clients would miss them.
func TestLapseBetweenReadsIsReported(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(table *memberTable)
		lapsed []string
	}{
		{"removed and written again", func(table *memberTable) {
			table.remove("members/a")
			table.put(kv.Item{Key: "members/a", Revision: 9, Created: 9}, Member{ID: "a", Group: "g"}, nil)
		}, []string{"a"}},
		{"only the later entry was seen", func(table *memberTable) {
			table.put(kv.Item{Key: "members/a", Revision: 9, Created: 8}, Member{ID: "a", Group: "g"}, nil)
		}, []string{"a"}},
		{"changed", func(table *memberTable) {
			table.put(kv.Item{Key: "members/a", Revision: 9, Created: 1}, Member{ID: "a", Group: "g", IsPrimary: true}, nil)
		}, nil},
		{"creation revision unknown", func(table *memberTable) {
			table.put(kv.Item{Key: "members/a", Revision: 9}, Member{ID: "a", Group: "g", IsPrimary: true}, nil)
		}, nil},
		{"removed", func(table *memberTable) { table.remove("members/a") }, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newMemberTable()
			table.put(kv.Item{Key: "members/a", Revision: 1, Created: 1}, Member{ID: "a", Group: "g"}, nil)
			if _, changed := table.takeChanges()["g"]; !changed {
				t.Fatal("the first entry is not reported as a change")
			}
			c.change(&table)
			list, changed := table.takeChanges()["g"]
			if !changed || !slices.Equal(list.lapsed, c.lapsed) {
				t.Errorf("changed %v, lapsed %v, want %v", changed, list.lapsed, c.lapsed)
			}
			if _, again := table.takeChanges()["g"]; again {
				t.Error("the same change is reported twice")
			}
		})
	}
}

// An invalid entry describes no member until it becomes valid, and is reported once.
func TestUnreadableEntryYieldsNoMember(t *testing.T) {
	table := newMemberTable()
	table.put(kv.Item{Key: "members/a", Revision: 1}, Member{ID: "a", Group: "g"}, nil)
	table.put(kv.Item{Key: "members/b", Revision: 2}, Member{ID: "b", Group: "g"}, nil)
	table.takeChanges()
	bad := errors.New("zone: missing")
	if !table.put(kv.Item{Key: "members/a", Revision: 3}, Member{}, bad) {
		t.Error("an invalid entry is not reported")
	}
	if table.put(kv.Item{Key: "members/a", Revision: 4}, Member{}, bad) {
		t.Error("an invalid entry is reported again")
	}
	list := table.takeChanges()["g"]
	if len(list.members) != 1 || list.members[0].ID != "b" {
		t.Errorf("members %v, want b alone", list.members)
	}
	table.put(kv.Item{Key: "members/a", Revision: 5}, Member{ID: "a", Group: "g"}, nil)
	if list := table.takeChanges()["g"]; len(list.members) != 2 {
		t.Errorf("members %v, want two", list.members)
	}
}
