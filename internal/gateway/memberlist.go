package gateway

import "maps"

// memberList holds the platform's entries of members as they were last read. It says which groups
// have changed since they were last taken, so that a change of one entry costs a look at one
// group. Use newMemberList.
type memberList struct {
	// entries holds what was read, by key.
	entries map[string]memberEntry
	// groups holds the members of each group, by group and key.
	groups map[string]map[string]Member
	// changed holds the groups whose members changed since take was last called for them.
	changed map[string]bool
}

// memberEntry is a member's entry as it was read.
type memberEntry struct {
	member Member
	// err is why the entry names no member, or nil.
	err error
}

func newMemberList() memberList {
	return memberList{entries: map[string]memberEntry{}, groups: map[string]map[string]Member{}, changed: map[string]bool{}}
}

// put takes over an entry. It reports whether the entry can't be read for another reason than before.
func (l *memberList) put(key string, m Member, err error) (refused bool) {
	before := l.entries[key].err
	l.remove(key)
	l.entries[key] = memberEntry{m, err}
	if err != nil {
		return before == nil || before.Error() != err.Error()
	}
	if l.groups[m.Group] == nil {
		l.groups[m.Group] = map[string]Member{}
	}
	l.groups[m.Group][key] = m
	l.changed[m.Group] = true
	return false
}

// remove drops an entry.
func (l *memberList) remove(key string) {
	old, ok := l.entries[key]
	if !ok {
		return
	}
	delete(l.entries, key)
	if old.err != nil {
		return
	}
	name := old.member.Group
	l.changed[name] = true
	if delete(l.groups[name], key); len(l.groups[name]) == 0 {
		delete(l.groups, name)
	}
}

// take returns the members of a group, and whether they changed since they were last taken.
func (l *memberList) take(group string) (members []Member, changed bool) {
	if !l.changed[group] {
		return nil, false
	}
	delete(l.changed, group)
	for m := range maps.Values(l.groups[group]) {
		members = append(members, m)
	}
	return members, true
}
