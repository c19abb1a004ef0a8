package gateway

import (
	"maps"
	"slices"

	"pearlatch/core/kv"
)

// memberTable holds the platform's entries of members as they were last read. It says which groups
// have changed since they were last taken, so that a change of one entry costs a look at one
// group. Use newMemberTable.
type memberTable struct {
	// entries holds what was read, by key.
	entries map[string]memberEntry
	// groups holds the members of each group, by group and key.
	groups map[string]map[string]Member
	// changed holds what changed since take was last called, by group.
	changed map[string]*memberChange
}

// memberEntry is a member's entry as it was read.
type memberEntry struct {
	// created is the number of the revision at which the entry came to be, or zero if that is not known.
	created int64
	member  Member
	// err is why the entry names no member, or nil.
	err error
}

// memberChange is a new list of a group's members.
type memberChange struct {
	members []Member
	// lapsed names members whose entries were removed since the list before, also if they are back:
	// such a member may have started again with nothing, and what it had acknowledged is lost
	// with it.
	lapsed []string
}

func newMemberTable() memberTable {
	return memberTable{entries: map[string]memberEntry{}, groups: map[string]map[string]Member{}, changed: map[string]*memberChange{}}
}

// markChanged marks a group as changed.
func (l *memberTable) markChanged(group string) *memberChange {
	c := l.changed[group]
	if c == nil {
		c = &memberChange{}
		l.changed[group] = c
	}
	return c
}

// put takes over an entry that names the member, or none because of err. It reports whether the entry
// can't be read for another reason than before.
func (l *memberTable) put(i kv.Item, m Member, err error) (refused bool) {
	before := l.entries[i.Key]
	if before.created != i.Created && before.created*i.Created != 0 {
		l.remove(i.Key)
	}
	l.removeMember(i.Key)
	l.entries[i.Key] = memberEntry{i.Created, m, err}
	if err != nil {
		return before.err == nil || before.err.Error() != err.Error()
	}
	if l.groups[m.Group] == nil {
		l.groups[m.Group] = map[string]Member{}
	}
	l.groups[m.Group][i.Key] = m
	l.markChanged(m.Group)
	return false
}

// remove takes over that an entry was removed.
func (l *memberTable) remove(key string) {
	if old, ok := l.entries[key]; ok && old.err == nil {
		c := l.markChanged(old.member.Group)
		c.lapsed = append(c.lapsed, old.member.ID)
	}
	l.removeMember(key)
	delete(l.entries, key)
}

// removeMember takes the entry's member out of its group.
func (l *memberTable) removeMember(key string) {
	old, ok := l.entries[key]
	if !ok || old.err != nil {
		return
	}
	name := old.member.Group
	l.markChanged(name)
	if delete(l.groups[name], key); len(l.groups[name]) == 0 {
		delete(l.groups, name)
	}
}

// takeChanges returns the groups whose members changed since it was last called.
func (l *memberTable) takeChanges() map[string]memberChange {
	out := make(map[string]memberChange, len(l.changed))
	for group, c := range l.changed {
		c.members = l.list(group)
		out[group] = *c
	}
	clear(l.changed)
	return out
}

// list returns the members of a group.
func (l *memberTable) list(group string) []Member {
	return slices.Collect(maps.Values(l.groups[group]))
}
