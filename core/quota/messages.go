package quota

import (
	"time"

	"pearlatch/core/account"
)

// Holding is the portion of an account that a host holds, and how long it remains valid.
type Holding struct {
	Account string
	Portion Portion
	TTL     time.Duration
}

// Request is a host's request to the granter, for several accounts.
type Request struct {
	// ID identifies the request. IDs of a limiter increase, and only the response to the last request is accepted.
	ID uint64
	// LastAnswered is the ID of the last request that was answered.
	LastAnswered uint64
	// FencingToken is that of the granter that the host follows.
	FencingToken int64
	// KeepaliveInterval is the longest time between two requests of a host that holds reserves. Other hosts send zero.
	KeepaliveInterval time.Duration
	// Accounts may be empty. Such a request only shows that the host reaches the granter.
	Accounts []AccountRequest
}

// AccountRequest is the part of a Request that concerns one account.
type AccountRequest struct {
	Account string
	// Quota is the account's quota in the granter's configuration.
	Quota account.Quota
	// HeldSerial is the serial of the portion that the host holds, and Tokens the number of tokens it has left.
	HeldSerial uint64
	Tokens     float64
	// Returned is the number of tokens that the host gives back.
	Returned int
	// Demand is the average rate at which the host's callers request operations, per second.
	Demand float64
	// Waiting is the number of operations that wait for a token, and Prefetch how many more tokens the host would like
	// to store for later operations.
	Waiting  int
	Prefetch float64
	// Reserve is the part of the reserves that the host wants to hold for the callers of all hosts, in units in which all
	// reserves are share.Requested, or zero. See ReserveFraction.
	Reserve float64
}

// Grant is the reply to an AccountRequest.
type Grant struct {
	Account string
	Serial  uint64
	// Rate and Cap define the host's portion. It is valid for TTL from when the request was sent.
	Rate, Cap float64
	TTL       time.Duration
	// Tokens is the number of tokens for waiting operations, and Prefetched for later ones.
	Tokens     int
	Prefetched float64
	// RetryAfter is the time after which a token may be available for the first of the waiting operations that got none,
	// and Interval the time between the tokens for the following ones.
	RetryAfter, Interval time.Duration
}

// Response is the reply to a Request.
type Response struct {
	// Suspended is true if the host's portions are to be suspended while the host reaches the granter.
	Suspended bool
	// ActivateAfter is the time after the request at which suspended portions become active. Zero means activateAfter.
	ActivateAfter time.Duration
	// Partial is true if the granter does not know what all hosts hold, and distributes only a part of the quota.
	Partial bool
	Grants  []Grant
}
