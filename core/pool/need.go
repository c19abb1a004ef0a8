package pool

import (
	"time"

	"pearlatch/core/group"
)

// Request is what a statement asks of a connection.
type Request struct {
	// Account is whose statement it is, or empty where callers have no accounts.
	Account string
	// PrimaryOnly is true when only the primary will do, and Forwardable when the statement may go by way of
	// another host if this one can't reach it.
	PrimaryOnly, Forwardable bool
	// MinPosition is what a member must hold, or zero.
	MinPosition group.Position
	// Avoid names a member that just failed the statement.
	Avoid string
	// Priority is 0 for the most important.
	Priority  int
	ArrivedAt time.Time
	// Deadline is until when the statement may wait.
	Deadline time.Time
}

// Waiter is a statement that waits for a connection.
type Waiter struct{ Request Request }

// MemberInfo says where a member stands, as this host sees it.
type MemberInfo struct {
	// SameZone is true for a member of the host's availability zone.
	SameZone bool
	// Leads is true for the primary.
	Leads bool
	// Suspect members failed to answer lately.
	Suspect bool
}

// View are what a host believes of the members, beside its own connections to them.
type View interface {
	// CanServe reports whether the member may serve the need now.
	CanServe(member string, n Request, now time.Time) bool
	// Info says where the member stands.
	Info(member string, now time.Time) MemberInfo
	// KeepsIdle reports whether connections to the member are kept though nobody uses them.
	KeepsIdle(member string, now time.Time) bool
	// Share is how many connections to the member are this host's own.
	Share(member string) int
	// MayExceedShare reports whether this host may open more than its share, as long as the member has any left.
	MayExceedShare() bool
	// Alive reports whether the member has not closed the connection, as far as is known.
	Alive(c *Conn) bool
}

// Action is what the owner of a Pool is to do. Its implementations are Give, Open and Close.
type Action interface{ isAction() }

type (
	// Assign hands a connection to a statement that waits, or sends it on to another host if Conn is nil.
	Assign struct {
		Waiter *Waiter
		Conn   *Conn
	}
	// Open opens a connection to a member for an account. The owner answers with Opened or Failed.
	Open struct{ Member, Account string }
	// Close closes a connection that the pool has forgotten.
	Close struct{ Conn *Conn }
)

func (Assign) isAction() {}
func (Open) isAction()   {}
func (Close) isAction()  {}
