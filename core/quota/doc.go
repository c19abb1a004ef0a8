// Package quota keeps client accounts within their quotas over all hosts together, without a request to another host
// for each statement.
//
// An account's quota is a token bucket. One host at a time, the account's granter, distributes the tokens. Each host
// that has callers of the account gets tokens for immediate use from the granter's pool, and a Portion: a rate at which
// the host may add tokens by itself for some time. Portions follow the demand that hosts report. A portion is suspended
// while its host reaches the granter: all tokens then come from the granter. When the host can't reach the granter, its
// portion becomes active. A granter counts the portions of hosts that it can't reach until they have certainly expired.
//
// Most hosts have too little demand of an account for a portion, and would refuse its callers while the granter is
// silent, new or declining. So a few hosts, the reserve holders, hold reserves: portions for the callers of all hosts. They
// give single tokens from their own buckets to hosts that the granter does not serve; see Limiter.Give. Package share
// divides a quota among reserves, other portions and the granter's pool.
//
// The granter is the host that holds the coordinator role of a group under a lease of the platform's store, see package
// leadership. A new granter does not know what its predecessor granted, so it queries all hosts that may hold a portion.
// Its followers are the hosts that have reported to it and accept tokens only from it. What unreported hosts may hold
// counts as used until PortionTTL after the granter's start, and so does what a predecessor that does not know of its
// successor may still distribute. Hosts that can't hold reserves may hold little, so a granter records those that may
// before it offers them any, see package holder.
//
// No account gets more in any time window than its quota and the Tolerance allow, even if several hosts take themselves
// for the granter. The package does no I/O. Its times must come from a clock that continues while the machine is suspended.
package quota
