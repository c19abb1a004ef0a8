package load

import "time"

// Report is a serving host's load for one group.
type Report struct {
	// Waiting is the number of statements that wait for a connection.
	Waiting int
	// Rate is how many waiting statements are served per second, or zero if that is not known.
	Rate float64
	// Delay is the expected wait of a statement of rank Rank that arrives now, if every statement of
	// the same or a more important rank that waits is served before it. It is zero if Rate is.
	Delay time.Duration
	// Rank is the rank of the statement with whose reply the report came. Statements of rank 0 are
	// served first.
	Rank int
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
