package upstream

import (
	"time"

	"pearlatch/core/group"
)

// Snapshot is what an owner knows at one moment, for the state dump.
type Snapshot struct {
	Group       string
	Phase       Phase
	Primary     string
	Term        group.Term
	Floor       group.Position
	LeaseLeft   time.Duration
	Confirmed   time.Duration // since the last confirmation
	Marks       int
	Waiting     int
	Unconfirmed int
	Open        int
	Limit       int
	Budget      int
	Held        time.Duration
	Members     []MemberSnapshot
}

// MemberSnapshot is what an owner knows of a member.
type MemberSnapshot struct {
	Name, Address, Zone string
	Primary             bool
	Present             bool
	Leaving             bool
	Follows             bool
	Received, Replayed  group.Position
	// Age bounds the age of the member's data. It is negative when unknown.
	Age        time.Duration
	Idle, Busy int
}

// Snapshot returns what the owner knows.
func (o *Owner) Snapshot() Snapshot {
	now := time.Now()
	v := o.view()
	s := Snapshot{
		Group: o.options.Group.Name, Phase: v.phase, Term: v.term, Floor: v.floor,
		LeaseLeft: max(0, v.leaseUntil.Sub(now)), Marks: o.marks.Len(), Budget: o.options.Group.Connections,
	}
	if !v.confirmedAt.IsZero() {
		s.Confirmed = now.Sub(v.confirmedAt)
	}
	if v.primary != group.NoMember {
		s.Primary = o.options.Group.Members[v.primary].Name
	}
	o.mu.Lock()
	s.Unconfirmed = len(o.waiters)
	for i, m := range o.options.Group.Members {
		s.Members = append(s.Members, o.memberSnapshot(i, m.Name, v, now))
	}
	o.mu.Unlock()
	o.pool.snapshot(&s)
	return s
}

// memberSnapshot describes a member without its connections. o.mu is held.
func (o *Owner) memberSnapshot(i int, name string, v *view, now time.Time) MemberSnapshot {
	m := o.options.Group.Members[i]
	st := o.samples[i].Status
	out := MemberSnapshot{
		Name: name, Address: m.Addr.String(), Zone: m.Zone, Primary: i == v.primary,
		Present: v.members[i].present, Leaving: v.members[i].leaving, Follows: v.members[i].follows,
		Received: group.Position{Term: st.Fence.Term, LSN: st.Received},
		Replayed: group.Position{Term: st.LogTerm, LSN: st.Replayed},
		Age:      -1,
	}
	if since := v.members[i].replica.AsOf; !since.IsZero() {
		out.Age = now.Sub(since)
	}
	return out
}

// snapshot adds what the pool knows.
func (p *pool) snapshot(s *Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Waiting, s.Open, s.Limit, s.Held = p.queue.Len(), p.totalOpen(), p.maxOpen, p.holdTimes.MeanHold()
	for i := range s.Members {
		s.Members[i].Idle, s.Members[i].Busy = len(p.members[i].idle), len(p.members[i].busy)
	}
}
