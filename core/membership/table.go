package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"
)

// Timing holds the intervals of the failure detector.
type Timing struct {
	// ProbeInterval is the time between two probes that a host sends.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a host waits for the answer to a probe.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect host may take to refute the suspicion
	// before it counts as dead.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a dead host is remembered, so that delayed statuses
	// do not make it alive again.
	DeadRetention time.Duration
}

// DefaultTiming returns the timing for hosts with a few milliseconds of latency
// between them.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:    500 * time.Millisecond,
		ProbeTimeout:     100 * time.Millisecond,
		SuspicionTimeout: 150 * time.Millisecond,
		DeadRetention:    time.Minute,
	}
}

// Table is the membership list of one host. Hosts probe their neighbours and
// piggyback statuses on the probes, so the number of messages per host does not grow
// with the fleet. A host is suspected before it counts as dead, so that a slow host
// can refute the suspicion. A Table is safe for concurrent use.
//
// See Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
type Table struct {
	timing Timing

	mu               sync.Mutex
	self             Host
	entries          map[string]*entry
	onChange         func()
	probeOrder       []string // IDs of the hosts still to be probed in this round
	cachedLive       []Host   // cached result of Live, nil after a change
	cachedNeighbours []Host   // cached result of Neighbours, nil after a change
}

// entry is what a table knows about another host.
type entry struct {
	status Status
	// stateSince is when the state was recorded.
	stateSince time.Time
	// transmissions is how many times the status was sent to other hosts.
	transmissions int
	// listed is true while the platform lists the host.
	listed bool
}

// NewTable returns a table that knows only its own host, self. onChange, which may be
// nil, is called without locks held after the set of live hosts has changed.
func NewTable(self Host, timing Timing, onChange func()) *Table {
	if onChange == nil {
		onChange = func() {}
	}
	return &Table{timing: timing, self: self, entries: map[string]*entry{}, onChange: onChange}
}

// Self returns the table's own host.
func (t *Table) Self() Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks the table's own host as leaving. Gossip announces it to other hosts.
func (t *Table) Leave() {
	t.mu.Lock()
	t.self.Leaving = true
	t.self.Incarnation++
	t.cachedLive, t.cachedNeighbours = nil, nil
	t.mu.Unlock()
	t.onChange()
}

// Live returns the hosts that are not dead, including the table's own host, sorted by
// ID. Suspect hosts are included: they keep what they own until the suspicion is
// refuted or confirmed. The result must not be changed.
func (t *Table) Live() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked()
}

// liveLocked is Live for callers that hold t.mu.
func (t *Table) liveLocked() []Host {
	if t.cachedLive == nil {
		t.cachedLive = append(t.cachedLive, t.self)
		for _, e := range t.entries {
			if e.status.State != Dead {
				t.cachedLive = append(t.cachedLive, e.status.Host)
			}
		}
		slices.SortFunc(t.cachedLive, compareHosts)
	}
	return t.cachedLive
}

// Lookup returns the host with the given ID, and whether it is known and not dead.
func (t *Table) Lookup(id string) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return t.self, true
	}
	e := t.entries[id]
	if e == nil || e.status.State == Dead {
		return Host{}, false
	}
	return e.status.Host, true
}

// Statuses returns the statuses of all other hosts, sorted by ID.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.status)
	}
	slices.SortFunc(out, func(a, b Status) int { return compareHosts(a.Host, b.Host) })
	return out
}

// MergeHostList merges the platform's host list, which lags. It adds unknown hosts and
// marks leaving ones, but it never makes a host alive that probes found dead.
func (t *Table) MergeHostList(list []Host, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.ID] = true
		t.mergeListed(h, now)
	}
	for id, e := range t.entries {
		e.listed = listed[id]
	}
	t.unlockAndNotify(before)
}

// mergeListed merges a host of the platform's list. t.mu is held.
func (t *Table) mergeListed(h Host, now time.Time) {
	if h.ID == t.self.ID {
		t.self.Leaving = t.self.Leaving || h.Leaving
		return
	}
	e := t.entries[h.ID]
	if e == nil {
		// All hosts read the platform's list, so the status is not gossiped.
		t.entries[h.ID] = &entry{status: Status{Host: h}, stateSince: now, transmissions: transmissionsDone}
		return
	}
	e.status.Host.Leaving = e.status.Host.Leaving || h.Leaving
}

// Merge merges statuses received from another host. If one of them says that the table's
// own host is suspect or dead, the host refutes it with a higher incarnation.
func (t *Table) Merge(statuses []Status, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	for _, s := range statuses {
		t.mergeStatus(s, now)
	}
	t.unlockAndNotify(before)
}

// mergeStatus merges a status received from another host. t.mu is held.
func (t *Table) mergeStatus(s Status, now time.Time) {
	if s.Host.ID == t.self.ID {
		if s.State != Alive && s.Host.Incarnation >= t.self.Incarnation {
			// Refute the status. Only the host itself increases its incarnation.
			t.self.Incarnation = s.Host.Incarnation + 1
		}
		return
	}
	e := t.entries[s.Host.ID]
	if e == nil {
		if s.State != Dead {
			t.entries[s.Host.ID] = &entry{status: s, stateSince: now}
		}
		return
	}
	if !s.overrides(e.status) {
		return
	}
	next := entry{status: s, stateSince: now, listed: e.listed}
	if s.State == e.status.State && s.Host.Leaving == e.status.Host.Leaving {
		next.transmissions = e.transmissions // only the incarnation changed
	}
	*e = next
}

// RecordReply records that the host answered a probe. It ends a suspicion of the host.
func (t *Table) RecordReply(id string, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	if e := t.entries[id]; e != nil && e.status.State == Suspect {
		// A direct answer outweighs a gossiped status. Other hosts learn of it when the
		// host refutes the suspicion.
		e.status.State, e.stateSince = Alive, now
	}
	t.unlockAndNotify(before)
}

// MarkSuspect records that the host did not answer a probe.
func (t *Table) MarkSuspect(id string, now time.Time) { t.escalate(id, Suspect, now) }

// MarkDead records that the host's process is known to be gone, for example after a
// refused connection.
func (t *Table) MarkDead(id string, now time.Time) { t.escalate(id, Dead, now) }

// escalate sets the state of a host if it is more severe than the current one.
func (t *Table) escalate(id string, state State, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	if e := t.entries[id]; e != nil && e.status.State < state {
		e.status.State, e.stateSince, e.transmissions = state, now, 0
	}
	t.unlockAndNotify(before)
}

// Tick marks hosts dead whose suspicion was not refuted within the suspicion timeout,
// and removes hosts that are dead for the retention time and no longer listed.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	for id, e := range t.entries {
		age := now.Sub(e.stateSince)
		switch {
		case e.status.State == Suspect && age >= t.timing.SuspicionTimeout:
			e.status.State, e.stateSince, e.transmissions = Dead, now, 0
		case e.status.State == Dead && age >= t.timing.DeadRetention && !e.listed:
			delete(t.entries, id)
		}
	}
	t.unlockAndNotify(before)
}

// Numbers of neighbours. Every host is a ring successor of some host, so that every
// host is probed. The random neighbours make the probes form a random graph, in which
// a status reaches every host in a number of steps that is logarithmic in the size of
// the fleet.
const (
	ringSuccessors   = 2
	randomNeighbours = 6
)

// Neighbours returns the live hosts that this host probes and keeps connections to.
// Their number does not grow with the fleet. The result must not be changed.
func (t *Table) Neighbours() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.neighboursLocked()
}

// neighboursLocked is Neighbours for callers that hold t.mu.
func (t *Table) neighboursLocked() []Host {
	if t.cachedNeighbours == nil {
		t.cachedNeighbours = selectNeighbours(t.self, t.liveLocked())
	}
	return t.cachedNeighbours
}

// selectNeighbours returns the neighbours of self among the live hosts: the next hosts
// on the ring of all hosts ordered by hash, and the hosts with the highest scores for
// self.
func selectNeighbours(self Host, live []Host) []Host {
	hosts := slices.Clone(live)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(pairHash("", a.ID), pairHash("", b.ID)) })
	position := slices.IndexFunc(hosts, func(h Host) bool { return h.ID == self.ID })
	neighbours := []Host{}
	for i := 1; i <= ringSuccessors && i < len(hosts); i++ {
		neighbours = append(neighbours, hosts[(position+i)%len(hosts)])
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(pairHash(self.ID, b.ID), pairHash(self.ID, a.ID)) })
	for _, h := range hosts {
		if len(neighbours) == ringSuccessors+randomNeighbours {
			break
		}
		if h.ID != self.ID && !slices.ContainsFunc(neighbours, func(n Host) bool { return n.ID == h.ID }) {
			neighbours = append(neighbours, h)
		}
	}
	return neighbours
}

// NextProbe returns the host to probe next, or false if there is none. Each round covers
// every neighbour once, in an order drawn by shuffle for that round, and one dead host that
// the platform still lists, so that the two sides of a healed partition detect each other.
func (t *Table) NextProbe(shuffle func(n int, swap func(i, j int))) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range 2 {
		for len(t.probeOrder) > 0 {
			id := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if e := t.entries[id]; e != nil {
				return e.status.Host, true
			}
		}
		t.startProbeRound(shuffle)
	}
	return Host{}, false
}

// startProbeRound fills probeOrder for a new round. t.mu is held.
func (t *Table) startProbeRound(shuffle func(n int, swap func(i, j int))) {
	for _, h := range t.neighboursLocked() {
		t.probeOrder = append(t.probeOrder, h.ID)
	}
	var dead []string
	for id, e := range t.entries {
		if e.status.State == Dead && e.listed {
			dead = append(dead, id)
		}
	}
	slices.Sort(dead)
	swap := func(list []string) func(i, j int) {
		return func(i, j int) { list[i], list[j] = list[j], list[i] }
	}
	shuffle(len(dead), swap(dead))
	t.probeOrder = append(t.probeOrder, dead[:min(1, len(dead))]...)
	shuffle(len(t.probeOrder), swap(t.probeOrder))
}

// transmissionsDone is a number of transmissions above any limit: the status is not
// gossiped.
const transmissionsDone = 1 << 30

// maxGossipStatuses bounds the statuses in one message.
const maxGossipStatuses = 128

// Gossip returns the statuses to send with the next message: that of the table's own host
// and those sent least often. Each status is sent a number of times that is logarithmic in
// the size of the fleet.
func (t *Table) Gossip() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := 3 * bits.Len(uint(len(t.entries)+1))
	var pending []*entry
	for _, e := range t.entries {
		if e.transmissions < limit {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if a.transmissions != b.transmissions {
			return a.transmissions - b.transmissions
		}
		return compareHosts(a.status.Host, b.status.Host)
	})
	out := []Status{{Host: t.self}}
	for _, e := range pending[:min(len(pending), maxGossipStatuses-1)] {
		e.transmissions++
		out = append(out, e.status)
	}
	return out
}

// MarkAlive records a message received from the host itself: it is alive, whatever its
// status was.
func (t *Table) MarkAlive(h Host, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	e := t.entries[h.ID]
	switch {
	case h.ID == t.self.ID:
	case e == nil:
		t.entries[h.ID] = &entry{status: Status{Host: h}, stateSince: now}
	case e.status.State != Alive || h.Leaving != e.status.Host.Leaving:
		*e = entry{status: Status{Host: h}, stateSince: now, listed: e.listed}
	case h.Incarnation > e.status.Host.Incarnation:
		e.status.Host = h
	}
	t.unlockAndNotify(before)
}

// fingerprint returns a hash of the IDs of the live hosts, and whether they are leaving, on
// which rankings depend. t.mu is held.
func (t *Table) fingerprint() uint64 {
	sum := pairHash(t.self.ID, leavingText(t.self.Leaving))
	for id, e := range t.entries {
		if e.status.State != Dead {
			sum += pairHash(id, leavingText(e.status.Host.Leaving))
		}
	}
	return sum
}

func leavingText(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return ""
}

// unlockAndNotify unlocks t.mu and calls onChange if the fingerprint differs from before.
// The caches of live hosts and neighbours are cleared first.
func (t *Table) unlockAndNotify(before uint64) {
	changed := t.fingerprint() != before
	if changed {
		t.cachedLive, t.cachedNeighbours = nil, nil
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}
