package statement

import (
	"time"

	"pearlatch/core/config"
	"pearlatch/core/freshness"
)

// CancelKey names a caller's connection across the fleet.
type CancelKey struct {
	// Process and Secret are what the caller received as its cancel key. The
	// upper half of Process identifies the host.
	Process, Secret uint32
}

// Request opens an exchange: the units from the first statement of a
// transaction to its end.
type Request struct {
	// Route and Group name the caller's route and the group it leads to.
	Route, Group string
	// Session identifies the caller whose writes its reads must see.
	Session string
	// NeverWrote is true when the session has certainly sent no write: it belongs to
	// one connection, and that has sent none. Its reads need no mark.
	NeverWrote bool
	// Class is the freshness that reads accept.
	Class freshness.Class
	// Priority ranks the request in the group's queue.
	Priority config.Priority
	// Idempotent is true when every unit may be repeated.
	Idempotent bool
	// ReplicaWait is how long a read waits for a replica before it goes to the
	// primary.
	ReplicaWait time.Duration
	// CancelKey names the caller's connection for cancel requests.
	CancelKey CancelKey
}

// Prepared is a named statement that a unit refers to.
type Prepared struct {
	// Name is derived from the text, so that callers share it.
	Name string
	// Parse is the whole Parse message.
	Parse []byte
}

//go:generate go tool stringer -type=Kind,Expect -linecomment -output=unit_string.go

// Kind says where a unit may run. The zero value is the safe one.
type Kind int

// The kinds.
const (
	// Write must run on the primary.
	Write Kind = iota // write
	// Read may run on a replica.
	Read // read
)

// Expect says what ends the answer to a unit.
type Expect int

// The ends of an answer.
const (
	// ExpectReady means ReadyForQuery, or CopyInResponse.
	ExpectReady Expect = iota // ready
	// ExpectNothing means that no answer is due, as in the middle of COPY.
	ExpectNothing // nothing
	// ExpectReplies means that Unit.Replies messages are due, as after Flush.
	ExpectReplies // counted
)

// Unit is a run of protocol messages that is answered as a whole.
type Unit struct {
	// Kind says where the unit may run.
	Kind Kind
	// Data holds the messages as they go to the member.
	Data []byte
	// Expect says what ends the answer.
	Expect Expect
	// Replies is the number of messages due when Expect is Counted.
	Replies int
	// Prepared lists the named statements that Data refers to, each once.
	Prepared []Prepared
	// ControlsTransaction is true when the unit opens a transaction or ends one.
	ControlsTransaction bool
	// Pins is true when the unit may leave state in the session that outlives
	// its transaction.
	Pins bool
	// RequestID is the identifier under which the unit runs at most once, or
	// empty.
	RequestID string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Outcome says how the exchange stands after a unit.
type Outcome struct {
	// Status is the transaction status of ReadyForQuery, or zero when the answer
	// ended otherwise.
	Status byte
	// CopyIn is true when the member waits for COPY data.
	CopyIn bool
	// Wrote is true when the unit ran as a write although it looked like a read.
	Wrote bool
	// Pinned is true when the exchange must go on although no transaction is
	// open.
	Pinned bool
}

// Continues reports whether the exchange goes on.
func (o Outcome) Continues() bool { return o.Status != 'I' || o.Pinned }
