package load

import "time"

// Report is a serving host's load for one group.
type Report struct {
	// Waiting is the number of statements that wait for a connection.
	Waiting int
	// Rate is how many waiting statements are served per second, or zero if that is not known.
	Rate float64
	// Delay is the expected wait of a statement of Kind that arrives now, if all that wait and precede
	// it are served first. It is zero if that is not known.
	Delay time.Duration
	// Kind is the kind of the statement with whose reply the report came.
	Kind Kind
}

// Kind is what determines which statements compete with a statement for a connection.
type Kind struct {
	// Rank is the rank of the statement. Statements of rank 0 are served first.
	Rank int
	// NeedsPrimary is true if the statement can only run on the primary. Other statements may run on
	// any member that holds what they must read, which their sender does not know.
	NeedsPrimary bool
}

const (
	// reportTTL is how long a report is used after it was received, and how long a serving host
	// continues to send reports after the last statement waited. Queues of a serving host grow and
	// shrink within the statements' wait bounds, which are a few hundred milliseconds.
	reportTTL = time.Second
	// openCost is what it costs to open a connection, which an account may need on another server: 12
	// to 27 ms at the slowest site.
	openCost = 25 * time.Millisecond
)
