package reserve

import "time"

// Request is a host's request to a reserve holder for tokens of several accounts.
type Request struct {
	// ID identifies the request. IDs of a client increase, and only the reply to the last request is accepted.
	ID       uint64
	Accounts []Demand
}

// Demand is the part of a Request that concerns one account: the number of operations that wait.
type Demand struct {
	Account string
	Waiting int
}

// Reply is the reply to a Request.
type Reply struct {
	// Declined is true if the receiver holds no reserves.
	Declined bool
	Grants   []Grant
}

// Grant is the reply to a Demand.
type Grant struct {
	Account string
	Tokens  int
	// RetryAfter is the time after which the holder may have a token for the first operation that got none, or zero if
	// none is missing. Interval is the time between the tokens for the following ones.
	RetryAfter, Interval time.Duration
}
