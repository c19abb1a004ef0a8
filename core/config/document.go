package config

import (
	"net/netip"
	"time"

	"pearlatch/core/freshness"
)

// SchemaVersion is the version of the document format that Parse accepts.
const SchemaVersion = 1

// Document is the complete configuration that operators write.
type Document struct {
	// Groups holds the database groups. Their names are unique.
	Groups []Group
	// Routes holds the routes. Their names are unique, and each refers to a group in
	// Groups.
	Routes []Route
}

// Group describes a database group.
type Group struct {
	// Name is not empty and consists of lower-case letters, digits, '-' and '_'.
	Name string
	// Members has an odd length of at least one. Names and addresses are unique.
	Members []Member
	// Slots is the number of statements that a member runs at the same time, at least
	// one.
	Slots int
	// Connections is the maximum number of connections that pearlatch opens to all
	// members together, at least one for each member and one more for each slot of the
	// primary.
	Connections int
	// Database is the database to connect to.
	Database string
	// Credential names the entry in each host's settings that holds the user and the
	// password. The document holds no secrets.
	Credential string
	// Timing holds the intervals of failure detection and failover.
	Timing Timing
}

// Member describes a database server of a group.
type Member struct {
	Name string
	Addr netip.AddrPort
	// Zone is the availability zone that the member runs in.
	Zone string
	// Leaving is set by operators before an upgrade. The member then gets no new work,
	// and if it is the primary, another member is promoted first.
	Leaving bool
}

// Timing holds the intervals with which the owner of a group monitors its members.
type Timing struct {
	// ProbeInterval is the time between probes of an idle member.
	ProbeInterval time.Duration
	// Silence is how long a member may leave a probe unanswered before it is considered
	// failed. It is greater than ProbeInterval.
	Silence time.Duration
	// Lease is how long the owner may answer reads after a majority has confirmed it.
	Lease time.Duration
	// SwitchoverHold is the longest time for which a planned switchover may hold back
	// statements.
	SwitchoverHold time.Duration
}

// DefaultTiming returns the timing of a group whose document sets none.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:  50 * time.Millisecond,
		Silence:        400 * time.Millisecond,
		Lease:          100 * time.Millisecond,
		SwitchoverHold: 2 * time.Second,
	}
}

// Route describes an access path of callers to a group. A caller selects a route by
// connecting to the database of the same name.
type Route struct {
	Name string
	// Group is the name of the group that serves the route.
	Group string
	// Credential names the entry in each host's settings against which callers are
	// authenticated.
	Credential string
	// Reads is the freshness that the route's reads require.
	Reads freshness.Class
	// Deadline is the maximum time from the arrival of a statement to its completion,
	// including queueing.
	Deadline time.Duration
	// Patience is how long a read waits for a replica before it is sent to the primary.
	Patience time.Duration
	// Priority is the priority of the route's requests in the queue of the group.
	Priority Priority
	// MaxCallers is the maximum number of callers of the route on one host.
	MaxCallers int
	// IdleInTransaction is the maximum time between two statements of a transaction.
	IdleInTransaction time.Duration
	// Idempotent is true if every statement of the route may safely be repeated.
	Idempotent bool
}

//go:generate go tool stringer -type=Priority -linecomment -output=priority_string.go

// Priority is the priority of a request. The zero value is Normal.
type Priority int

// The priorities.
const (
	// Normal is for ordinary work.
	Normal Priority = iota // normal
	// High is served before all other work.
	High // high
	// Low is served when no other work is waiting, apart from a small guaranteed share.
	Low // low
)

// Defaults of the optional fields of a route.
const (
	DefaultDeadline          = 5 * time.Second
	DefaultPatience          = 50 * time.Millisecond
	DefaultMaxCallers        = 10000
	DefaultIdleInTransaction = 30 * time.Second
)

// Route returns the route with the given name, and whether it exists.
func (d *Document) Route(name string) (*Route, bool) {
	for i := range d.Routes {
		if d.Routes[i].Name == name {
			return &d.Routes[i], true
		}
	}
	return nil, false
}

// Group returns the group with the given name, and whether it exists.
func (d *Document) Group(name string) (*Group, bool) {
	for i := range d.Groups {
		if d.Groups[i].Name == name {
			return &d.Groups[i], true
		}
	}
	return nil, false
}

// SameUpstreams reports whether g and o have the same members and the same settings
// for them. The owner of g can then continue with o. The names of the groups and the
// Leaving fields of the members are not compared.
func (g Group) SameUpstreams(o *Group) bool {
	if g.Slots != o.Slots || g.Connections != o.Connections || g.Database != o.Database ||
		g.Credential != o.Credential || g.Timing != o.Timing || len(g.Members) != len(o.Members) {
		return false
	}
	for i, m := range g.Members {
		other := o.Members[i]
		other.Leaving = m.Leaving
		if m != other {
			return false
		}
	}
	return true
}

// Member returns the member with the given name, and whether it exists.
func (g *Group) Member(name string) (Member, bool) {
	for _, m := range g.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
