package gateway

import (
	"context"
	"net/netip"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/internal/follow"
)

// Member identifies a member of a group and what the platform says of it.
type Member struct {
	// ID is the instance. A member may start again under it, see Incarnation.
	ID    string
	Group string
	Addr  netip.AddrPort
	Zone  string
	// Incarnation is when this run of the member began, as it says itself, or zero. It tells
	// runs apart and is no time of ours.
	Incarnation int64
	// Sequence counts what this run of the member has written of itself, or is zero where it does not say.
	Sequence int64
	// Slots is how many statements the member runs at once.
	Slots int
	// Leaving members get no new work.
	Leaving bool
	// IsPrimary is true while the member says that it is the primary.
	IsPrimary bool
}

// Dialer opens connections to members.
type Dialer interface {
	// Dial connects to the member and makes sure that it is the instance named.
	// A member that refuses answers with a *Failure. account is whose statements the connection is for,
	// or empty for the host's own questions, and where callers have no accounts.
	Dial(ctx context.Context, m Member, account string) (Conn, error)
}

// Conn is a connection to a member. It is used by one goroutine at a time.
type Conn interface {
	// Do sends the commands in one piece and returns a reply to each, up to and
	// including the first that failed to arrive.
	Do(timeout time.Duration, commands ...Command) ([]Reply, error)
	// Control runs an order to the member itself.
	Control(timeout time.Duration, o ControlCommand) (Status, error)
	// Alive reports whether the other side has not closed the connection, as far
	// as has arrived by now.
	Alive() bool
	Close() error
}

// Command is a statement for a member. Its implementations are Forward, OpenTransaction,
// Abort, Assign, Define and Reset.
type Command interface{ isCommand() }

type (
	// Forward passes a caller's statement on.
	Forward struct {
		Request Request
		// After is the position that the member must hold, or zero.
		After group.Position
		// Name is the connection's name of a prepared statement, for Execute.
		Name string
	}
	// OpenTransaction begins a transaction.
	OpenTransaction struct {
		ReadOnly bool
		After    group.Position
	}
	// Abort rolls a transaction back.
	Abort struct{}
	// Assign lays a session value on the connection.
	Assign struct{ Name, Value string }
	// Define prepares a statement under a name of the connection.
	Define struct {
		Name     string
		Prepared PreparedStatement
	}
	// Reset clears the values and prepared statements of the connection.
	Reset struct{}
)

func (Forward) isCommand()         {}
func (OpenTransaction) isCommand() {}
func (Abort) isCommand()           {}
func (Assign) isCommand()          {}
func (Define) isCommand()          {}
func (Reset) isCommand()           {}

// ControlCommand is an order to a member itself. Its implementations are Probe, Fence,
// Release and Demote.
type ControlCommand interface{ isControlCommand() }

type (
	// Probe asks for the status.
	Probe struct{}
	// Fence stops a replica from receiving until it is released, another member
	// is promoted or it restarts. The term must exceed the newest one.
	Fence struct{ Term group.Term }
	// Release ends a fence.
	Release struct{}
	// Demote makes a primary of a lower term a replica.
	Demote struct{ Term group.Term }
)

func (Probe) isControlCommand()   {}
func (Fence) isControlCommand()   {}
func (Release) isControlCommand() {}
func (Demote) isControlCommand()  {}

// Status is a member's answer to a ControlCommand.
type Status struct {
	IsPrimary bool
	// Received is the end of the member's log.
	Received group.Position
	// Term is the newest term that the member knows.
	Term group.Term
	// Fenced is the term of the fence that it holds.
	Fenced group.Term
	// Lag is how far behind the member says it is.
	Lag time.Duration
	// Running is how many statements it runs.
	Running int
	// Connections is how many connections it has from all hosts.
	Connections int
}

// Store is the platform's store. It may come back from an older copy, see package kv. An error may come
// after a write has taken effect.
type Store interface {
	follow.Store
	// Commit carries a transaction out and returns its revision. ErrConflict means that a key has not the revision that
	// is expected. If the new revision is of another epoch, the number may have stood for another content.
	Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error)
	// Grant opens a lease; Renew and End take its number. ErrNoLease means that
	// it has ended. Renew returns the epoch in which the lease stands: in another one than the keys were
	// written in, they may be gone.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Renew(ctx context.Context, lease int64) (kv.Epoch, error)
	End(ctx context.Context, lease int64) error
}

// Promoter orders promotions.
type Promoter interface {
	// Promote makes a member the primary of its group. ErrFenced means that a
	// higher token was used. Any other error leaves open whether the order is
	// carried out, also seconds later.
	Promote(ctx context.Context, holder string, token int64, groupName, memberID string) error
	// RaiseToken makes the platform refuse orders with older tokens for the group, and changes nothing
	// else. It is used where the platform checks tokens.
	RaiseToken(ctx context.Context, holder string, token int64, groupName string) error
}
