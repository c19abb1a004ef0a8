package host

import (
	"runtime"
	"slices"
	"strings"
	"time"

	"pearlatch/io/operator"
	"pearlatch/io/peer"
	"pearlatch/io/upstream"
)

// operatorProcess shows the host to operators.
type operatorProcess struct{ *Host }

var _ operator.Process = operatorProcess{}

// State implements operator.Process.
func (p operatorProcess) State() operator.State {
	h := p.Host
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	reason := h.Ready()
	s := operator.State{
		Host: h.settings.Host, Zone: h.settings.Zone, UptimeSeconds: int64(time.Since(h.started) / time.Second),
		Ready: reason == "", NotReady: reason, Draining: h.stopping.Load(), StoreReader: h.isStoreReader(),
		Config: h.conf.state(), Platform: operator.PlatformState{Calls: h.store.Calls()},
		CallersByRoute: h.callers.Callers(),
		Goroutines:     runtime.NumGoroutine(), HeapBytes: mem.HeapInuse,
	}
	for _, c := range h.table.Statuses() {
		s.Hosts = append(s.Hosts, operator.HostState{
			Host: c.Host.ID, Zone: c.Host.Zone, Peer: c.Host.Peer.String(), State: c.State.String(),
			Leaving: c.Host.Leaving, Incarnation: c.Host.Incarnation,
		})
	}
	for _, owner := range h.allOwners() {
		s.Groups = append(s.Groups, groupState(owner.Snapshot()))
	}
	return s
}

// Drain implements operator.Process.
func (p operatorProcess) Drain() {
	select {
	case p.drainRequested <- struct{}{}:
	default:
	}
}

// DrainRequested yields when an operator has ordered a graceful shutdown.
func (h *Host) DrainRequested() <-chan struct{} { return h.drainRequested }

func (h *Host) allOwners() []*upstream.Owner {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	out := make([]*upstream.Owner, 0, len(h.owners))
	for _, owner := range h.owners {
		out = append(out, owner)
	}
	slices.SortFunc(out, func(a, b *upstream.Owner) int { return strings.Compare(a.Group().Name, b.Group().Name) })
	return out
}

func (c *configuration) state() operator.ConfigState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return operator.ConfigState{Revision: c.current.Number, Author: c.current.Author, Applied: c.appliedAt}
}

func groupState(s upstream.Snapshot) operator.GroupState {
	out := operator.GroupState{
		Group: s.Group, Phase: s.Phase.String(), Primary: s.Primary, Term: uint64(s.Term), Floor: s.Floor.String(),
		LeaseLeftMS: s.LeaseLeft.Milliseconds(), ConfirmedAgeMS: s.Confirmed.Milliseconds(), SessionMarks: s.Marks,
		RequestsWaiting: s.Waiting, WritesWaiting: s.Unconfirmed, ConnectionsOpen: s.Open, ConnectionLimit: s.Limit, ConnectionBudget: s.Budget,
		ConnectionHeldMS: float64(s.Held.Microseconds()) / 1000,
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, memberState(m))
	}
	return out
}

func memberState(m upstream.MemberSnapshot) operator.MemberState {
	role := "replica"
	if m.Primary {
		role = "primary"
	}
	age := int64(-1)
	if m.Age >= 0 {
		age = m.Age.Milliseconds()
	}
	return operator.MemberState{
		Member: m.Name, Address: m.Address, Zone: m.Zone, Role: role, Present: m.Present, Leaving: m.Leaving,
		FollowsPrimary: m.Follows, Received: m.Received.String(), Replayed: m.Replayed.String(), MaxAgeMS: age,
		ConnectionsIdle: m.Idle, ConnectionsBusy: m.Busy,
	}
}

// Traffic returns what the host exchanges with others.
func (h *Host) Traffic() *peer.Traffic { return h.traffic }

// ConfigRevision returns the number of the configuration in force.
func (h *Host) ConfigRevision() uint64 { return h.conf.inForceNumber() }

// LiveCount returns how many hosts this one believes alive, itself included.
func (h *Host) LiveCount() int { return len(h.table.Live()) }

// PlatformCalls returns how many calls the host made to the platform.
func (h *Host) PlatformCalls() int64 { return h.store.Calls() }

// ControlBytes returns what the control connections to members have carried.
func (h *Host) ControlBytes() int64 { return h.controlBytes.Load() }
