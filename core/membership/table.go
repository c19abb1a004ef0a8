package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"
)

// Timing bounds how a host probes the others.
type Timing struct {
	// ProbeInterval is the pause between two probes that a host sends.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe may go unanswered.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect host has to refute.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a dead host is remembered, so that late claims do not
	// bring it back.
	DeadRetention time.Duration
}

// DefaultTiming returns the timing for hosts a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:    500 * time.Millisecond,
		ProbeTimeout:     100 * time.Millisecond,
		SuspicionTimeout: 150 * time.Millisecond,
		DeadRetention:    time.Minute,
	}
}

// Table is one host's belief about all hosts. Hosts probe one another at random
// and pass claims on with the probes, so the messages of a host do not grow with
// the fleet. Suspicion before removal lets a slow host refute.
//
// See Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
type Table struct {
	timing Timing

	mu               sync.Mutex
	self             Host
	entries          map[string]*entry
	onChange         func()
	probeOrder       []string // hosts still to be probed in this round
	cachedLive       []Host   // cached result of Live, nil after a change
	cachedNeighbours []Host   // cached result of Neighbours, nil after a change
}

// entry is what a table holds of a host.
type entry struct {
	status     Status
	stateSince time.Time // of the state
	// transmissions is how often the claim was passed on.
	transmissions int
	// listed is true while the platform lists the host.
	listed bool
}

// NewTable returns a table that knows only its own host. changed, which may be
// nil, is called without locks after the set of live hosts has changed.
func NewTable(self Host, timing Timing, changed func()) *Table {
	if changed == nil {
		changed = func() {}
	}
	return &Table{timing: timing, self: self, entries: map[string]*entry{}, onChange: changed}
}

// Self returns the table's own host.
func (t *Table) Self() Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave announces that the own host is leaving.
func (t *Table) Leave() {
	t.mu.Lock()
	t.self.Leaving = true
	t.self.Incarnation++
	t.cachedLive, t.cachedNeighbours = nil, nil
	t.mu.Unlock()
	t.onChange()
}

// Live returns the hosts that are not dead, the own one among them, by
// identifier. Suspect hosts count: what they own stays with them until the
// suspicion is settled. The result must not be changed.
func (t *Table) Live() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked()
}

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

// Lookup returns a host that is not dead.
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

// Statuses returns what is believed of all other hosts.
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

// MergeHostList takes in the platform's list, which lags. It brings in hosts not heard of
// yet and marks leaving ones, but it never revives a host that probes found
// dead.
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

func (t *Table) mergeListed(h Host, now time.Time) {
	if h.ID == t.self.ID {
		t.self.Leaving = t.self.Leaving || h.Leaving
		return
	}
	e := t.entries[h.ID]
	if e == nil {
		// Everybody is told by the platform, so it need not be passed on.
		t.entries[h.ID] = &entry{status: Status{Host: h}, stateSince: now, transmissions: transmissionsDone}
		return
	}
	e.status.Host.Leaving = e.status.Host.Leaving || h.Leaving
}

// Merge takes in claims that another host passed on.
func (t *Table) Merge(claims []Status, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	for _, c := range claims {
		t.mergeStatus(c, now)
	}
	t.unlockAndNotify(before)
}

func (t *Table) mergeStatus(c Status, now time.Time) {
	if c.Host.ID == t.self.ID {
		if c.State != Alive && c.Host.Incarnation >= t.self.Incarnation {
			// Refute: only the host itself raises its incarnation.
			t.self.Incarnation = c.Host.Incarnation + 1
		}
		return
	}
	e := t.entries[c.Host.ID]
	if e == nil {
		if c.State != Dead {
			t.entries[c.Host.ID] = &entry{status: c, stateSince: now}
		}
		return
	}
	if !c.overrides(e.status) {
		return
	}
	next := entry{status: c, stateSince: now, listed: e.listed}
	if c.State == e.status.State && c.Host.Leaving == e.status.Host.Leaving {
		next.transmissions = e.transmissions // only the incarnation is new
	}
	*e = next
}

// RecordReply records that the host answered.
func (t *Table) RecordReply(id string, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	if e := t.entries[id]; e != nil && e.status.State == Suspect {
		// The host's own answer is better evidence than a claim. Others learn it
		// when the host refutes.
		e.status.State, e.stateSince = Alive, now
	}
	t.unlockAndNotify(before)
}

// MarkSuspect records that the host did not answer.
func (t *Table) MarkSuspect(id string, now time.Time) { t.escalate(id, Suspect, now) }

// MarkDead records certain knowledge that the host's process is gone, such as a
// refused connection.
func (t *Table) MarkDead(id string, now time.Time) { t.escalate(id, Dead, now) }

func (t *Table) escalate(id string, state State, now time.Time) {
	t.mu.Lock()
	before := t.fingerprint()
	if e := t.entries[id]; e != nil && e.status.State < state {
		e.status.State, e.stateSince, e.transmissions = state, now, 0
	}
	t.unlockAndNotify(before)
}

// Tick turns suspicions that were not refuted in time into deaths, and forgets
// old deaths.
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

// Numbers of neighbours. Each host is the successor of someone, so that none
// goes unprobed; the others make the graph of probes a random one, over which
// claims reach every host in a number of steps that grows with the logarithm of
// the fleet.
const (
	ringSuccessors   = 2
	randomNeighbours = 6
)

// Neighbours returns the live hosts that this one probes and keeps connections
// to. Their number does not grow with the fleet. The result must not be changed.
func (t *Table) Neighbours() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.neighboursLocked()
}

func (t *Table) neighboursLocked() []Host {
	if t.cachedNeighbours == nil {
		t.cachedNeighbours = selectNeighbours(t.self, t.liveLocked())
	}
	return t.cachedNeighbours
}

// selectNeighbours returns the neighbours of self among the live hosts.
func selectNeighbours(self Host, live []Host) []Host {
	ring := slices.Clone(live)
	slices.SortFunc(ring, func(a, b Host) int { return cmp.Compare(weight("", a.ID), weight("", b.ID)) })
	at := slices.IndexFunc(ring, func(h Host) bool { return h.ID == self.ID })
	near := []Host{}
	for i := 1; i <= ringSuccessors && i < len(ring); i++ {
		near = append(near, ring[(at+i)%len(ring)])
	}
	slices.SortFunc(ring, func(a, b Host) int { return cmp.Compare(weight(self.ID, b.ID), weight(self.ID, a.ID)) })
	for _, h := range ring {
		if len(near) == ringSuccessors+randomNeighbours {
			break
		}
		if h.ID != self.ID && !slices.ContainsFunc(near, func(n Host) bool { return n.ID == h.ID }) {
			near = append(near, h)
		}
	}
	return near
}

// NextProbe returns the host to probe next: each neighbour once a round, in an order
// that shuffle draws anew for each round, and one dead host that the platform
// still lists, so that the two sides of a healed partition meet again.
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

// startProbeRound starts a round of probes. t.mu is held.
func (t *Table) startProbeRound(shuffle func(n int, swap func(i, j int))) {
	for _, h := range t.neighboursLocked() {
		t.probeOrder = append(t.probeOrder, h.ID)
	}
	var lost []string
	for id, e := range t.entries {
		if e.status.State == Dead && e.listed {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	swap := func(list []string) func(i, j int) {
		return func(i, j int) { list[i], list[j] = list[j], list[i] }
	}
	shuffle(len(lost), swap(lost))
	t.probeOrder = append(t.probeOrder, lost[:min(1, len(lost))]...)
	shuffle(len(t.probeOrder), swap(t.probeOrder))
}

// transmissionsDone marks a claim that needs no spreading.
const transmissionsDone = 1 << 30

// maxGossipStatuses bounds the claims in one message.
const maxGossipStatuses = 128

// Gossip returns the claims to send with the next message: the own host's and
// those passed on least often, each a number of times that grows with the
// logarithm of the fleet.
func (t *Table) Gossip() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := 3 * bits.Len(uint(len(t.entries)+1))
	var fresh []*entry
	for _, e := range t.entries {
		if e.transmissions < limit {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if a.transmissions != b.transmissions {
			return a.transmissions - b.transmissions
		}
		return compareHosts(a.status.Host, b.status.Host)
	})
	out := []Status{{Host: t.self}}
	for _, e := range fresh[:min(len(fresh), maxGossipStatuses-1)] {
		e.transmissions++
		out = append(out, e.status)
	}
	return out
}

// MarkAlive records a message from a host itself: it is alive whatever was claimed.
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

// fingerprint identifies the set of live hosts as far as ranks depend on it.
func (t *Table) fingerprint() uint64 {
	var sum uint64
	for id, e := range t.entries {
		if e.status.State != Dead {
			sum += weight(id, leavingText(e.status.Host.Leaving))
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

// unlockAndNotify unlocks the table and calls changed if the live hosts differ from
// before.
func (t *Table) unlockAndNotify(before uint64) {
	different := t.fingerprint() != before
	if different {
		t.cachedLive, t.cachedNeighbours = nil, nil
	}
	t.mu.Unlock()
	if different {
		t.onChange()
	}
}
