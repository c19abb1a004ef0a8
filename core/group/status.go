package group

import "time"

// Fence is what a member stores to refuse older primaries. It is replaced only
// by a fence with a higher term, or with the same term from the same host.
type Fence struct {
	// Term is the highest term that the member has accepted.
	Term Term
	// Host is the host that set the fence of Term.
	Host string
}

// Accepts reports whether a member that stores f replaces it with next.
func (f Fence) Accepts(next Fence) bool {
	if next.Term == f.Term {
		return next.Host == f.Host
	}
	return next.Term > f.Term
}

// Status is a member's answer to a probe.
type Status struct {
	// Fence is the fence that the member stores.
	Fence Fence
	// InRecovery is true on a replica and false on a member that takes writes.
	InRecovery bool
	// Streaming is true on a replica whose WAL receiver is connected to a
	// primary.
	Streaming bool
	// Timeline is the timeline of the last record written or received.
	Timeline uint32
	// LogTerm is the term of the newest term record that the member has
	// applied, or zero. See Term.
	LogTerm Term
	// Received is the end of the log that the member holds durably.
	Received LSN
	// Replayed is the end of the log that is visible to reads on the member. It
	// never exceeds Received.
	Replayed LSN
}

// Leads reports whether the member takes writes in the term of its fence.
func (s Status) Leads() bool { return !s.InRecovery && s.LogTerm == s.Fence.Term }

// Sample is a member's latest answer. The zero Sample means that the member has
// not answered yet.
type Sample struct {
	// Status is the answer.
	Status Status
	// SentAt is when the probe was sent. The answer describes the member at
	// this time or later.
	SentAt time.Time
	// ReceivedAt is when the answer arrived.
	ReceivedAt time.Time
}

// Answered reports whether the member has answered at all.
func (s Sample) Answered() bool { return !s.ReceivedAt.IsZero() }
