package fleet

import (
	"time"

	"pearlatch/core/membership"
)

const (
	// listInterval is how often the list of hosts is worked out anew from news that change nothing of it:
	// lapsed hosts lose their place by time alone.
	listInterval = time.Second
	// hostRetention is how long a host counts after its entry has lapsed. It may be cut off
	// from the store and hold its connections all the same.
	hostRetention = 20 * time.Second
	// servingRetention is how long a host whose entry has lapsed goes on to serve for
	// others, unless it said that it leaves. It outlasts the outages of the users'
	// stores, of up to 9 s for a part of the hosts.
	servingRetention = 10 * time.Second
)

// knownEntries holds each host's entry as it was last seen, by host.
type knownEntries map[string]knownEntry

// knownEntry is a host's entry as it was last knownEntry, and when it lapsed, or zero.
type knownEntry struct {
	host      membership.Host
	removedAt time.Time
}

// RecordEntry takes over a change of a host's entry. There may be several changes of one
// host, of which the one that says that it leaves must not be missed.
func (f *Hosts) RecordEntry(id string, value []byte, removed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entriesChanged = true
	if removed {
		f.entries[id] = knownEntry{f.entries[id].host, now}
		return
	}
	f.entries[id] = knownEntry{host: ParseEntry(id, value)}
}

// RecentCount returns how many hosts were seen that may still hold connections.
func (f *Hosts) RecentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries)
}

// UpdateList takes over the changes that were noted and reports whether the list of hosts changed. A host whose entry has
// lapsed is kept in it for a while: when the store was away, or turned hosts away, many entries
// lapse at once, and groups would change the hosts that serve them twice, each time with new
// connections.
func (f *Hosts) UpdateList(now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = f.entriesChanged
	if !changed && now.Sub(f.appliedAt) < listInterval {
		return false
	}
	f.entriesChanged, f.appliedAt = false, now
	var hosts []membership.Host
	for id, each := range f.entries {
		switch {
		case each.removedAt.IsZero():
			hosts = append(hosts, each.host)
		case now.Sub(each.removedAt) > hostRetention:
			delete(f.entries, id)
			changed = true
		case !each.host.Leaving && now.Sub(each.removedAt) <= servingRetention:
			hosts = append(hosts, each.host)
		}
	}
	return f.setTable(hosts) || changed
}
