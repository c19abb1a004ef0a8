package statement

import (
	"fmt"
	"time"
)

// Refusal is the answer to a unit that pearlatch itself gives.
type Refusal struct {
	// Code is the SQLSTATE sent to the caller.
	Code string
	// Reason says what happened, as a sentence without its full stop.
	Reason string
	// NotRun is true when the unit has certainly not run.
	NotRun bool
	// RetryAfter is when the caller may try again, or zero when that is not
	// known.
	RetryAfter time.Duration
	// RetryElsewhere is true when another host may take the unit at once: this one
	// does not own the group. Owner is that host, if it is known.
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

// Hint returns the text of the HINT field, or the empty string.
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
