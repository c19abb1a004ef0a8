package gateway

import (
	"fmt"

	"pearlatch/core/group"
)

//go:generate go tool stringer -type=State,Code,DeclineReason -linecomment -output=enum_string.go

// State is the transaction status of a session.
type State uint8

// The transaction statuses.
const (
	Idle State = iota
	InTransaction
	// InFailedTransaction means that the transaction failed and only its end is accepted.
	InFailedTransaction // Broken
)

// Code says why a statement failed.
type Code uint8

// The codes. The group up to TooManyConnections promises that nothing of the caller's
// attempt is kept.
const (
	// Busy means that nothing had room for the statement.
	Busy Code = iota
	// Aborted means that the transaction was rolled back.
	Aborted
	// Lagging means that the member's log lacks a position.
	Lagging
	// ReadOnly means that the member does not lead.
	ReadOnly
	// Misrouted means that the address belongs to another member now.
	Misrouted
	// TooManyConnections means that the member has no connection left.
	TooManyConnections // TooMany
	// UnknownStatement means that no statement is prepared under the name.
	UnknownStatement
	// Failed means that the statement ran and failed.
	Failed
	// TimedOut means that the statement ran out of time.
	TimedOut
	// InDoubt means that the outcome is not known.
	InDoubt
	// Malformed means that the statement makes no sense in the session's state.
	Malformed
	// NoDatabase means that no route has the caller's database.
	NoDatabase
	// Unauthorized means that no client account has the caller's key.
	Unauthorized
	// OverQuota means that the caller's account has no operation left for now.
	OverQuota
)

// NotRun reports whether a member that answers with the code has certainly not
// run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, Misrouted, TooManyConnections, UnknownStatement:
		return true
	}
	return false
}

// Failure is an unsuccessful answer.
type Failure struct {
	Code   Code
	Detail string
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s", f.Code, f.Detail) }

// Reply answers a statement.
type Reply struct {
	Rows []string
	// Signature is the member's proof that it ran the statement, or empty.
	Signature string
	// Failure is nil for a success.
	Failure *Failure
	State   State
	// Position is how far the member's log has been applied, or zero.
	Position group.Position
}
