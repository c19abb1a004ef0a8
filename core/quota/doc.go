// Package quota keeps client accounts within their quotas over all hosts together, without a request to another host
// for each statement.
//
// An account's quota is a token bucket. One host at a time, the account's granter, distributes the tokens. Each host
// that has callers of the account gets a Portion, which is a rate at which the host may add tokens by itself for some
// time, and tokens for immediate use from the granter's pool. Portions follow the demand that hosts report. A portion
// is suspended while its host reaches the granter: all tokens then come from the granter. When the host can't reach
// the granter its portion becomes active. A granter counts the portions of hosts that it can't reach until they have
// certainly expired.
//
// The granter is the host that holds a duty under a lease of the platform's store, see package leadership. A new
// granter does not know what its predecessor granted, so it queries all hosts that may hold a portion. It counts
// what unreported hosts may hold as used until PortionTTL after its own start. So it does with what a predecessor
// still distributes that does not know of its successor.
//
// Whatever the hosts believe, no account gets more in any time window than its quota and the Tolerance allow. The
// package does no I/O. Its times must come from a clock that continues while the machine is suspended.
package quota
