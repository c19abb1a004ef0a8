package fleet

import (
	"time"

	"pearlatch/core/membership"
)

const (
	// listInterval is how often the list of hosts is recomputed while no entry changes: hosts whose entry has been
	// removed leave the list after some time.
	listInterval = time.Second
	// hostRetention is how long a host is remembered after its entry was removed. It may be cut off from the store
	// and still hold its connections.
	hostRetention = 20 * time.Second
	// servingRetention is how long a host whose entry was removed remains listed and serves other hosts' callers,
	// unless it announced that it is leaving. It exceeds the outages of the users' stores, which last up to 9 s for
	// some of the hosts.
	servingRetention = 10 * time.Second
)

// knownEntries maps host IDs to the hosts' last known entries.
type knownEntries map[string]knownEntry

// knownEntry is the last known entry of a host. removedAt is when the entry was removed from the store, or zero.
type knownEntry struct {
	host      membership.Host
	removedAt time.Time
}

// RecordEntry records a change of a host's entry. Several changes of one host may be recorded before the next
// UpdateList; a change that marks the host as leaving keeps its effect when the entry is removed after it.
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

// RecentCount returns how many hosts may still hold connections: those with an entry, and those whose entry was
// removed recently.
func (f *Hosts) RecentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries)
}

// UpdateList updates the list of hosts from the recorded entries and reports whether the list changed or may have
// changed. A host whose entry was removed remains in the list for servingRetention: while the store is unavailable or
// rejects hosts, many entries expire at once. Their groups would otherwise change their serving hosts twice, each
// time with new connections.
func (f *Hosts) UpdateList(now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = f.entriesChanged
	if !changed && now.Sub(f.appliedAt) < listInterval {
		return false
	}
	f.entriesChanged, f.appliedAt = false, now
	var hosts []membership.Host
	for id, e := range f.entries {
		switch {
		case e.removedAt.IsZero():
			hosts = append(hosts, e.host)
		case now.Sub(e.removedAt) > hostRetention:
			delete(f.entries, id)
			changed = true
		case !e.host.Leaving && now.Sub(e.removedAt) <= servingRetention:
			hosts = append(hosts, e.host)
		}
	}
	return f.setTable(hosts) || changed
}
