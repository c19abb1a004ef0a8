package upstream

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/config"
	"pearlatch/core/group"
)

// Options configures an owner.
type Options struct {
	// Host is the identifier of this host.
	Host string
	// Group is the group to own.
	Group config.Group
	// User and Password authenticate pearlatch to members.
	User, Password string
	// Local is the address to dial from, or the zero value for any.
	Local netip.Addr
	// Witness asks other hosts whether they can reach a member. If it is nil, no
	// host is asked.
	Witness Witness
	// Yield hands the group to another host. If it is nil, the owner keeps the
	// group.
	Yield Yield
	// Serial distinguishes the owners that a host starts for a group.
	Serial uint64
	// HostGone reports whether a host is gone, so that its sessions on the members
	// may be ended. If it is nil, no host counts as gone.
	HostGone func(host string) bool
	// Successor is the group's next owner. It confirms the transactions that are
	// still open while the group is handed over, and must not be nil if Close can be
	// called with transactions open.
	Successor Successor
	// Binding determines when a read is bound to a member.
	Binding Binding
	// Unsafe disables safeguards. It is for tests that show what each one prevents,
	// and for baselines; no setting controls it.
	Unsafe Unsafe
	// ControlBytes, if not nil, counts the bytes read and written on the control
	// connections.
	ControlBytes *atomic.Int64
	// Logger must not be nil.
	Logger log.Logger
	// Metrics must not be nil.
	Metrics metrics.Registry
}

//go:generate go tool stringer -type=Binding -linecomment -output=binding_string.go

// Binding determines when a read is bound to a member.
type Binding int

// The bindings.
const (
	// Late binds a read when a connection becomes free.
	Late Binding = iota // late
	// EarlyTwo binds a read on arrival to the one of two random members with fewer
	// bound reads.
	EarlyTwo // early_two
	// EarlyLeast binds a read on arrival to the member with the fewest bound reads.
	EarlyLeast // early_least
)

// Unsafe selects safeguards to disable. The zero value disables none.
type Unsafe struct {
	// SkipConfirm acknowledges writes before a majority holds them.
	SkipConfirm bool
	// SkipFence promotes without fencing a majority.
	SkipFence bool
	// IgnoreMarks lets any replica answer any read.
	IgnoreMarks bool
	// ReuseUndrained returns a connection to the pool in the middle of an answer,
	// and reuses it without checking that it is alive.
	ReuseUndrained bool
	// FixedPrimary, if positive, replaces session marks by a fixed duration: for
	// that long after a session's last write through a host, or after its first use
	// of the host, its reads go to the primary. Later reads go to any replica.
	FixedPrimary time.Duration
	// NoRefusal queues every request, however long it would wait.
	NoRefusal bool
	// SilenceOnly ignores refused connections when a member is checked for failure.
	// Only the time without an answer counts.
	SilenceOnly bool
}

// Successor is the next owner of a group.
type Successor interface {
	// Confirm confirms everything that the primary of the term has written, and
	// raises the session's mark accordingly.
	Confirm(ctx context.Context, term group.Term, session string) error
	// Released tells the next owner that the owner lock is free and that this owner
	// sends no more answers that depend on its lease.
	Released(ctx context.Context)
}

// WitnessResult is the result of asking other hosts whether they reach a member.
type WitnessResult struct {
	// Asked is the number of hosts asked, and Answered the number that answered.
	Asked, Answered int
	// Reached is how many of them got an answer from the member, and By the first
	// of them.
	Reached   int
	ReachedBy string
}

// Yield is called when another host reaches the primary and this one does not:
// that host should own the group instead.
type Yield func(to string)

// Witness asks other hosts to probe a member.
type Witness func(ctx context.Context, member config.Member) WitnessResult
