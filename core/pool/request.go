package pool

import (
	"time"

	"pearlatch/core/group"
)

// ConnRequest describes the connection that a statement needs.
type ConnRequest struct {
	// Account is the client account of the statement, or empty where clients
	// have no accounts.
	Account string
	// Weight is the share of the account in the slots while statements wait.
	// Zero counts as one.
	Weight float64
	// PrimaryOnly is true if the statement must run on the primary. Forwardable
	// is true if another host may run the statement if this one can't reach the
	// primary.
	PrimaryOnly, Forwardable bool
	// MinPosition is the position that the member must hold, or zero.
	MinPosition group.Position
	// Avoid is the identifier of a member that has just failed the statement,
	// or empty.
	Avoid string
	// Rank is the rank of the statement in the queue. Statements of rank 0 are
	// served first. Unlike config.Priority, whose zero value is the normal
	// priority, it increases as the importance decreases.
	Rank int
	// ArrivedAt is when the statement arrived.
	ArrivedAt time.Time
	// Deadline is when the statement stops waiting.
	Deadline time.Time
	// RefuseEarly is true if the statement is refused as soon as it can't be
	// expected to be served by its deadline.
	RefuseEarly bool
}

// MemberInfo is what the host knows of a member's location, role and health.
type MemberInfo struct {
	// SameZone is true if the member is in the host's availability zone.
	SameZone bool
	// IsPrimary is true for the primary.
	IsPrimary bool
	// Suspect is true if the member recently failed to answer.
	Suspect bool
}

// View is the host's view of the members, apart from its own connections to
// them.
type View interface {
	// CanServe reports whether the member may serve the request now.
	CanServe(member string, r ConnRequest, now time.Time) bool
	// Info returns what the host knows of the member.
	Info(member string, now time.Time) MemberInfo
	// KeepsIdle reports whether unused connections to the member are kept open.
	KeepsIdle(member string, now time.Time) bool
	// Share returns the host's share of the member's connections.
	Share(member string) int
	// MayExceedShare reports whether the host may open more connections than
	// its share while the member has any left.
	MayExceedShare() bool
	// Alive reports whether the connection may be used. It returns false once
	// the member is known to have closed the connection.
	Alive(c *Conn) bool
}

// Action is an instruction to the owner of a Pool. Its implementations are
// Assign, Refuse, Open and Close.
type Action interface{ isAction() }

type (
	// Assign hands Conn to a waiting statement, or has the statement forwarded
	// to another host if Conn is nil.
	Assign struct {
		Waiter *Waiter
		Conn   *Conn
	}
	// Refuse refuses a waiting statement, since too many others are ahead of it.
	Refuse struct{ Waiter *Waiter }
	// Open opens a connection to a member for an account. The owner answers
	// with Pool.Opened, Pool.OpenFailed or Pool.OpenAbandoned.
	Open struct{ Member, Account string }
	// Close closes a connection that the pool no longer holds.
	Close struct{ Conn *Conn }
)

func (Assign) isAction() {}
func (Refuse) isAction() {}
func (Open) isAction()   {}
func (Close) isAction()  {}
