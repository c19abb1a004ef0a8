package gateway

import (
	"context"
	"net/netip"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/internal/follow"
)

// Member identifies a member of a group, with its state as the platform reports it.
type Member struct {
	// ID identifies the instance. It stays the same when the member restarts; see Incarnation.
	ID    string
	Group string
	Addr  netip.AddrPort
	Zone  string
	// Incarnation is the start time of this run of the member as the member reports it, or zero. It distinguishes runs and must
	// not be compared with the host's clock.
	Incarnation int64
	// Sequence is the number of times that this run of the member has written its entry in the store, or zero if the member
	// does not report it.
	Sequence int64
	// Slots is the number of statements that the member runs concurrently.
	Slots int
	// Leaving is true if the member must get no new work.
	Leaving bool
	// IsPrimary is true while the member reports that it is the primary.
	IsPrimary bool
}

// Dialer opens connections to members. Dial may be called from several goroutines.
type Dialer interface {
	// Dial connects to the member and verifies that it is the instance with the given ID. The error is a *Failure if the member
	// refuses the connection. account is the account whose statements the connection is for. It is empty for the host's own
	// requests and if callers have no accounts.
	Dial(ctx context.Context, m Member, account string) (Conn, error)
}

// Conn is a connection to a member. It is used by one goroutine at a time.
type Conn interface {
	// Do sends the commands together and returns a reply to each, up to and including the first that failed to arrive.
	Do(timeout time.Duration, commands ...Command) ([]Reply, error)
	// Receive returns one more reply, within the timeout of the last Do. It is called if a reply belongs to none of the commands.
	Receive() (Reply, error)
	// Control sends a control command and returns the member's status.
	Control(timeout time.Duration, o ControlCommand) (Status, error)
	// Alive reports whether the connection is open, as far as is known: it is false once the member's close has arrived.
	Alive() bool
	Close() error
}

// Command is a statement for a member. Its implementations are RunStatement, OpenTransaction,
// Abort, Assign, Define and Reset.
type Command interface{ isCommand() }

type (
	// RunStatement runs a caller's statement.
	RunStatement struct {
		Request Request
		// After is the position that the member must have, or zero.
		After group.Position
		// Name is the name of the prepared statement on the connection, for Execute.
		Name string
	}
	// OpenTransaction begins a transaction.
	OpenTransaction struct {
		ReadOnly bool
		After    group.Position
	}
	// Abort rolls a transaction back.
	Abort struct{}
	// Assign sets a session value on the connection.
	Assign struct{ Name, Value string }
	// Define prepares a statement under a name on the connection.
	Define struct {
		Name     string
		Prepared PreparedStatement
	}
	// Reset clears the session values and prepared statements of the connection.
	Reset struct{}
)

func (RunStatement) isCommand()    {}
func (OpenTransaction) isCommand() {}
func (Abort) isCommand()           {}
func (Assign) isCommand()          {}
func (Define) isCommand()          {}
func (Reset) isCommand()           {}

// ControlCommand is a command that controls a member, as opposed to a statement. Its implementations are Probe, Fence,
// Release and Demote.
type ControlCommand interface{ isControlCommand() }

type (
	// Probe requests the status.
	Probe struct{}
	// Fence stops a replica from receiving the log until the fence is released, another member is promoted or the replica
	// restarts. The term must exceed the newest term that the member knows.
	Fence struct{ Term group.Term }
	// Release ends a fence. Coordinators don't send it: see leadership.NextFinishStep.
	Release struct{}
	// Demote turns a primary of a lower term into a replica.
	Demote struct{ Term group.Term }
)

func (Probe) isControlCommand()   {}
func (Fence) isControlCommand()   {}
func (Release) isControlCommand() {}
func (Demote) isControlCommand()  {}

// Status is a member's reply to a ControlCommand.
type Status struct {
	IsPrimary bool
	// Received is the end of the member's log.
	Received group.Position
	// Term is the newest term that the member knows.
	Term group.Term
	// Fenced is the term of the fence that is in effect on the member.
	Fenced group.Term
	// Lag is the replication lag that the member reports.
	Lag time.Duration
	// Running is the number of statements that are running.
	Running int
	// Connections is the number of connections from all hosts.
	Connections int
}

// Store is the platform's key-value store. It may be restored from an older backup; see package kv. A write may have taken
// effect even if the call returns an error. The methods may be called from several goroutines.
type Store interface {
	follow.Store
	// Commit executes a transaction and returns its revision. ErrConflict means that a key does not have the expected revision.
	// Preconditions compare only revision numbers: if the returned revision is of another epoch than the expected one, the
	// number may have belonged to another value.
	Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error)
	// Grant creates a lease and returns its number, which Renew and End take. ErrNoLease means that the lease has ended. Renew
	// returns the epoch in which the lease exists. If the lease's keys were written in another epoch, they may be gone.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Renew(ctx context.Context, lease int64) (kv.Epoch, error)
	End(ctx context.Context, lease int64) error
}

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote makes a member the primary of its group. holder is the host that requests it, and token its fencing token.
	// ErrPromotionRefused means that a higher token was used before. After any other error the promotion may or may not take place, even
	// seconds later.
	Promote(ctx context.Context, holder string, token int64, groupName, memberID string) error
	// RaiseToken makes the platform reject promotions of the group with older tokens and has no other effect. It is used if the
	// platform checks tokens.
	RaiseToken(ctx context.Context, holder string, token int64, groupName string) error
}
