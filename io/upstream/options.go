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

// Options says what an owner needs to know.
type Options struct {
	// Host is the identifier of this host.
	Host string
	// Group is the group to own.
	Group config.Group
	// User and Password are presented to members.
	User, Password string
	// Local is the address to dial from, or the zero value for any.
	Local netip.Addr
	// Witness asks other hosts whether they can reach a member. A nil Witness
	// stands for no other host.
	Witness Witness
	// Yield gives the group away. A nil Yield keeps it.
	Yield Yield
	// Serial distinguishes the owners that one host starts for a group.
	Serial uint64
	// HostGone reports whether a host is gone, so that what it left on the members
	// may be ended. A nil HostGone stands for none.
	HostGone func(host string) bool
	// Successor is the group's next owner, for the transactions that are still
	// open while the group is handed over. It must not be nil if Close is ever
	// called with transactions open.
	Successor Successor
	// Binding says when a read is bound to a member.
	Binding Binding
	// Unsafe switches safeguards off. It is for tests that show what each one
	// prevents, and for baselines; settings cannot reach it.
	Unsafe Unsafe
	// ControlBytes, if not nil, counts what the control connections carry.
	ControlBytes *atomic.Int64
	// Logger must not be nil.
	Logger log.Logger
	// Metrics must not be nil.
	Metrics metrics.Registry
}

//go:generate go tool stringer -type=Binding -linecomment -output=binding_string.go

// Binding says when a read is bound to a member.
type Binding int

// The bindings.
const (
	// Late binds a read when a connection is free.
	Late Binding = iota // late
	// EarlyTwo binds it on arrival to the less busy of two random members.
	EarlyTwo // early_two
	// EarlyLeast binds it on arrival to the member with the fewest requests.
	EarlyLeast // early_least
)

// Unsafe names safeguards to leave out. The zero value leaves out none.
type Unsafe struct {
	// SkipConfirm acknowledges writes before a majority holds them.
	SkipConfirm bool
	// SkipFence promotes without fencing a majority.
	SkipFence bool
	// IgnoreMarks lets any replica answer any read.
	IgnoreMarks bool
	// ReuseUndrained gives a connection back in the middle of an answer, and
	// takes it again without a look.
	ReuseUndrained bool
	// FixedPrimary, if positive, replaces marks by a rule that needs none: for
	// that long after a session's write, or after it first came by way of a
	// host, its reads go to the primary; later ones to any replica.
	FixedPrimary time.Duration
	// NoRefusal queues every request, however long it would wait.
	NoRefusal bool
	// SilenceOnly ignores refused connections: only silence counts.
	SilenceOnly bool
}

// Successor is the next owner of a group.
type Successor interface {
	// Confirm confirms what the primary of the term holds now, and lets the
	// session see it.
	Confirm(ctx context.Context, term group.Term, session string) error
	// Released tells it that the owner lock is free and that no read is under
	// way here any more.
	Released(ctx context.Context)
}

// WitnessResult is what other hosts say of a member.
type WitnessResult struct {
	// Asked is how many hosts were asked, and Answered how many answered.
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
