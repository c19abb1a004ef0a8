package statement

import (
	"time"

	"pearlatch/core/config"
	"pearlatch/core/freshness"
)

// CancelKey identifies a client connection across all hosts.
type CancelKey struct {
	// Process and Secret are the process ID and secret key that the client
	// received in BackendKeyData. The upper half of Process identifies the
	// host.
	Process, Secret uint32
}

// Request opens an exchange, which runs the units from the first statement of a
// transaction to its end.
type Request struct {
	// Route and Group are the names of the client's route and of its group.
	Route, Group string
	// Session identifies the session whose writes the reads must see.
	Session string
	// NeverWrote is true if the session is certain to have sent no write: it
	// consists of a single connection, which has sent none. Its reads need no
	// mark.
	NeverWrote bool
	// Class is the freshness that the reads require.
	Class freshness.Class
	// Priority is the priority of the request in the group's queue.
	Priority config.Priority
	// Idempotent is true if every unit may be run more than once.
	Idempotent bool
	// ReplicaWait is how long a read waits for a replica before it is sent to
	// the primary.
	ReplicaWait time.Duration
	// CancelKey identifies the client's connection in cancel requests.
	CancelKey CancelKey
}

// Prepared is a named prepared statement that a unit refers to.
type Prepared struct {
	// Name is derived from the text, so that clients share the statement.
	Name string
	// Parse is the whole Parse message.
	Parse []byte
}

//go:generate go tool stringer -type=Kind,Expect -linecomment -output=unit_string.go

// Kind tells where a unit may run. The zero value is Write, which is always
// correct.
type Kind int

// The kinds.
const (
	// Write units must run on the primary.
	Write Kind = iota // write
	// Read units may run on a replica.
	Read // read
)

// ReplyEnd tells how the end of the answer to a unit is recognized.
type ReplyEnd int

// The ends of an answer.
const (
	// EndsWithReady means that the answer ends with ReadyForQuery or
	// CopyInResponse.
	EndsWithReady ReplyEnd = iota // ready
	// EndsWithoutReply means that no answer follows, as in the middle of COPY.
	EndsWithoutReply // nothing
	// EndsAfterReplies means that the answer ends after Unit.Replies replies, as
	// after Flush.
	EndsAfterReplies // counted
)

// Unit is a sequence of protocol messages that is answered as a whole.
type Unit struct {
	// Kind tells where the unit may run.
	Kind Kind
	// Data holds the messages as they are sent to the member.
	Data []byte
	// ReplyEnd tells how the end of the answer is recognized.
	ReplyEnd ReplyEnd
	// Replies is the number of replies due if Expect is ExpectReplies.
	Replies int
	// Prepared lists the named statements that Data refers to, each once.
	Prepared []Prepared
	// ControlsTransaction is true if the unit opens or ends a transaction.
	ControlsTransaction bool
	// Pins is true if the unit may leave session state that outlives its
	// transaction.
	Pins bool
	// RequestID is the identifier under which the unit runs at most once, or
	// empty.
	RequestID string
	// Deadline is when the client stops waiting.
	Deadline time.Time
}

// Outcome is the state of an exchange after a unit.
type Outcome struct {
	// Status is the transaction status of ReadyForQuery, or zero if the answer
	// did not end with that message.
	Status byte
	// CopyIn is true if the member waits for COPY data.
	CopyIn bool
	// Wrote is true if the unit ran as a write although it was classified as a
	// read.
	Wrote bool
	// Pinned is true if the exchange must continue although no transaction is
	// open.
	Pinned bool
}

// Continues reports whether the exchange continues.
func (o Outcome) Continues() bool { return o.Status != 'I' || o.Pinned }
