package fleet

import (
	"time"

	"pearlatch/core/membership"
)

const (
	// applyAgain is how often the list of hosts is worked out anew from news that change nothing of it:
	// lapsed hosts lose their place by time alone.
	applyAgain = time.Second
	// hostMemory is how long a host counts after its entry has lapsed. It may be cut off
	// from the store and hold its connections all the same.
	hostMemory = 20 * time.Second
	// lapseMemory is how long a host whose entry has lapsed goes on to serve for
	// others, unless it said that it leaves. It outlasts the outages of the users'
	// stores, of up to 9 s for a part of the hosts.
	lapseMemory = 10 * time.Second
)

// entries holds each host's entry as it was last seen, by host.
type entries map[string]seen

// seen is a host's entry as it was last seen, and when it lapsed, or zero.
type seen struct {
	host     membership.Host
	lapsedAt time.Time
}

// Note takes over a change of a host's entry. There may be several changes of one
// host, of which the one that says that it leaves must not be missed.
func (f *Hosts) Note(id string, value []byte, removed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noted = true
	if removed {
		f.seen[id] = seen{f.seen[id].host, now}
		return
	}
	f.seen[id] = seen{host: ParseEntry(id, value)}
}

// Seen returns how many hosts were seen that may still hold connections.
func (f *Hosts) Seen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.seen)
}

// Apply takes over the changes that were noted and reports whether the list of hosts changed. A host whose entry has
// lapsed is kept in it for a while: when the store was away, or turned hosts away, many entries
// lapse at once, and groups would change the hosts that serve them twice, each time with new
// connections.
func (f *Hosts) Apply(now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = f.noted
	if !changed && now.Sub(f.appliedAt) < applyAgain {
		return false
	}
	f.noted, f.appliedAt = false, now
	var hosts []membership.Host
	for id, each := range f.seen {
		switch {
		case each.lapsedAt.IsZero():
			hosts = append(hosts, each.host)
		case now.Sub(each.lapsedAt) > hostMemory:
			delete(f.seen, id)
			changed = true
		case !each.host.Leaving && now.Sub(each.lapsedAt) <= lapseMemory:
			hosts = append(hosts, each.host)
		}
	}
	return f.set(hosts) || changed
}
