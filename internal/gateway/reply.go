package gateway

import (
	"fmt"

	"pearlatch/core/group"
)

//go:generate go tool stringer -type=State,Code,DeclineReason,promotionOutcome -linecomment -output=enum_string.go

// State is the transaction status of a session.
type State uint8

// The transaction statuses.
const (
	Idle State = iota
	InTransaction
	// InFailedTransaction means that the transaction has failed and only a commit or rollback is
	// accepted.
	InFailedTransaction // Broken
)

// Code is the reason why a statement failed.
type Code uint8

// The codes. Busy, Aborted, Lagging, NotPrimary, Misrouted and TooManyConnections guarantee that no
// effect of the caller's attempt is kept.
const (
	// Busy means that no member or connection could take the statement in time.
	Busy Code = iota
	// Aborted means that the transaction was rolled back.
	Aborted
	// Lagging means that the member's log has not reached the required position.
	Lagging
	// NotPrimary means that the member is not the primary.
	NotPrimary // ReadOnly
	// Misrouted means that the address now belongs to another member.
	Misrouted
	// TooManyConnections means that the member accepts no further connection.
	TooManyConnections // TooMany
	// UnknownPrepared means that there is no prepared statement of that name.
	UnknownPrepared // UnknownStatement
	// Failed means that the statement ran and returned an error.
	Failed
	// TimedOut means that the statement exceeded its time limit.
	TimedOut
	// InDoubt means that it is unknown whether the statement took effect.
	InDoubt
	// Malformed means that the statement is not valid in the session's state.
	Malformed
	// NoDatabase means that no route is configured for the caller's database.
	NoDatabase
	// Unauthorized means that no client account has the caller's key.
	Unauthorized
	// OverQuota means that the account's quota is used up for now.
	OverQuota
)

// NotRun reports whether a member that replies with the code has certainly not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, NotPrimary, Misrouted, TooManyConnections, UnknownPrepared:
		return true
	}
	return false
}

// Failure is the error of an unsuccessful reply.
type Failure struct {
	Code   Code
	Detail string
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s", f.Code, f.Detail) }

// Reply is the answer to a statement.
type Reply struct {
	Rows []string
	// Signature is the member's proof that it ran the statement. It is empty if no member ran it.
	Signature string
	// Bare is true if the member sent the end of a reply without a result before it.
	Bare bool
	// Failure is nil if the statement succeeded.
	Failure *Failure
	State   State
	// Position is the position up to which the member has applied its log, or zero.
	Position group.Position
}
