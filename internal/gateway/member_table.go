package gateway

import (
	"maps"
	"slices"

	"pearlatch/core/kv"
)

// memberTable holds the platform's entries for members as last read. It tracks which groups have
// changed since the last call of takeChanges, so that a change of one entry causes work for one group
// only. Use newMemberTable.
type memberTable struct {
	// entries holds the entries as read, by key.
	entries map[string]memberEntry
	// groups holds the members of each group, by group and key.
	groups map[string]map[string]Member
	// changed holds the changes since the last call of takeChanges, by group.
	changed map[string]*memberChange
}

// memberEntry is the entry of a member as read.
type memberEntry struct {
	// created is the revision at which the entry was created, or zero if it is unknown.
	created int64
	member  Member
	// err is why the entry is invalid, or nil.
	err error
}

// memberChange is the new list of a group's members.
type memberChange struct {
	members []Member
	// lapsed holds the IDs of members whose entries were removed since the previous list, even if they
	// were written again. Such a member may have been restarted without its data, and what it had
	// acknowledged is lost with it.
	lapsed []string
}

func newMemberTable() memberTable {
	return memberTable{entries: map[string]memberEntry{}, groups: map[string]map[string]Member{}, changed: map[string]*memberChange{}}
}

// markChanged returns the pending change of a group, which it creates if there is none.
func (t *memberTable) markChanged(group string) *memberChange {
	c := t.changed[group]
	if c == nil {
		c = &memberChange{}
		t.changed[group] = c
	}
	return c
}

// put stores an entry, which describes m or is invalid because of err. It reports whether the entry is
// invalid for another reason than before.
func (t *memberTable) put(i kv.Item, m Member, err error) (newlyInvalid bool) {
	before := t.entries[i.Key]
	if before.created != i.Created && before.created*i.Created != 0 {
		t.remove(i.Key)
	}
	t.removeMember(i.Key)
	t.entries[i.Key] = memberEntry{i.Created, m, err}
	if err != nil {
		return before.err == nil || before.err.Error() != err.Error()
	}
	if t.groups[m.Group] == nil {
		t.groups[m.Group] = map[string]Member{}
	}
	t.groups[m.Group][i.Key] = m
	t.markChanged(m.Group)
	return false
}

// remove removes an entry.
func (t *memberTable) remove(key string) {
	if old, ok := t.entries[key]; ok && old.err == nil {
		c := t.markChanged(old.member.Group)
		c.lapsed = append(c.lapsed, old.member.ID)
	}
	t.removeMember(key)
	delete(t.entries, key)
}

// removeMember removes the entry's member from its group.
func (t *memberTable) removeMember(key string) {
	old, ok := t.entries[key]
	if !ok || old.err != nil {
		return
	}
	name := old.member.Group
	t.markChanged(name)
	if delete(t.groups[name], key); len(t.groups[name]) == 0 {
		delete(t.groups, name)
	}
}

// takeChanges returns the groups whose members have changed since the last call.
func (t *memberTable) takeChanges() map[string]memberChange {
	out := make(map[string]memberChange, len(t.changed))
	for group, c := range t.changed {
		c.members = t.list(group)
		out[group] = *c
	}
	clear(t.changed)
	return out
}

// list returns the members of a group in no particular order.
func (t *memberTable) list(group string) []Member {
	return slices.Collect(maps.Values(t.groups[group]))
}
