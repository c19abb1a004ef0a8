package shutdown

import "time"

//go:generate go tool stringer -type=Phase,Activity,Action -linecomment -output=enum_string.go

// Phase is a part of a shutdown. Phases follow one another in the order of their values.
type Phase uint8

// The phases of a shutdown.
const (
	// Running means that the host has not been told to stop.
	Running Phase = iota // running
	// Announcing is the time in which the platform may still send callers. All requests are served.
	Announcing // announcing
	// EndingSessions ends sessions without an open transaction. Single statements and new transactions are refused.
	EndingSessions // ending_sessions
	// EndingTransactions ends open transactions. Nothing is passed on to a member any more.
	EndingTransactions // ending_transactions
	// AnsweringUnknown answers the requests that are still in progress, whose outcome is unknown.
	AnsweringUnknown // answering_unknown
)

const (
	// readinessDelay is how long the platform may take to notice that a host is not ready: two probes a second apart,
	// and the network delay.
	readinessDelay = 2300 * time.Millisecond
	// answerMargin is the time left at the end of the grace for answers to leave the process and for what the host holds
	// in the store to be handed back, and exitMargin what is left of it when the process exits at the latest.
	answerMargin = 800 * time.Millisecond
	exitMargin   = 200 * time.Millisecond
	// answerShare and exitShare bound the same margins as shares of the grace.
	answerShare, exitShare = 6, 24
)

// Schedule holds when the phases of a shutdown begin. Its times ascend and lie within the grace.
type Schedule struct {
	endSessions, endTransactions, answerUnknown, exit time.Duration
}

// NewSchedule returns the schedule of a host whose process is killed after the grace.
func NewSchedule(grace time.Duration) Schedule {
	return Schedule{
		endSessions:     min(readinessDelay, grace/3),
		endTransactions: grace / 2,
		answerUnknown:   grace - min(answerMargin, grace/answerShare),
		exit:            grace - min(exitMargin, grace/exitShare),
	}
}

// Phase returns the phase at a time.
func (s Schedule) Phase(elapsed time.Duration) Phase {
	switch {
	case elapsed >= s.answerUnknown:
		return AnsweringUnknown
	case elapsed >= s.endTransactions:
		return EndingTransactions
	case elapsed >= s.endSessions:
		return EndingSessions
	}
	return Announcing
}

// Exit returns when the process exits at the latest.
func (s Schedule) Exit() time.Duration { return s.exit }

// UntilNext returns how long the phase at a time lasts, or how long until Exit in the last one.
func (s Schedule) UntilNext(elapsed time.Duration) time.Duration {
	for _, begin := range []time.Duration{s.endSessions, s.endTransactions, s.answerUnknown} {
		if elapsed < begin {
			return begin - elapsed
		}
	}
	return max(0, s.exit-elapsed)
}
