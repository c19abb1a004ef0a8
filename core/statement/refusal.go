package statement

import (
	"fmt"
	"time"
)

// Refusal is an error with which pearlatch itself answers a unit. Its text calls
// the unit a request.
type Refusal struct {
	// Code is the SQLSTATE sent to the client.
	Code string
	// Reason says what happened, as a sentence without its full stop.
	Reason string
	// NotRun is true if it is certain that the unit has not run.
	NotRun bool
	// RetryAfter is how long the client should wait before it tries again, or
	// zero if that is not known.
	RetryAfter time.Duration
	// RetryElsewhere is true if another host may run the unit at once, since
	// this one does not own the group. Owner is that host, if it is known.
	RetryElsewhere bool
	Owner          string
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.NotRun {
		return fmt.Sprintf("%s; the request has not run", r.Reason)
	}
	return r.Reason
}

// Hint returns the text of the error's HINT field, or the empty string.
func (r *Refusal) Hint() string {
	if r.RetryAfter <= 0 {
		return ""
	}
	return fmt.Sprintf("Try again in %s.", r.RetryAfter.Round(time.Millisecond))
}

// NewNotRunRefusal returns a refusal of a unit that has not run.
func NewNotRunRefusal(code, reason string) *Refusal {
	return &Refusal{Code: code, Reason: reason, NotRun: true}
}
