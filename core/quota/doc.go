// Package quota keeps client accounts within their quotas over all hosts together, without a question a
// statement.
//
// An account's quota is a token bucket. One host at a time, the granter of the account, hands its tokens
// out: to each host that has callers of the account a Portion, which is a rate at which tokens come to the
// host by themselves for some time, and tokens at once from what is left. Portions follow the demand that
// hosts report. A host that can't reach the granter goes on with its portion; a granter counts what it gave to
// hosts that it can't reach until that has certainly ended.
//
// Who is the granter follows from a duty that one host holds under a lease of the platform's store, see
// package leadership. Its successor does not know what it gave. It asks all hosts that may have got anything;
// what those hold that don't answer counts as used until Lifetime after the successor has begun, and with it
// all that a predecessor still hands out who does not know of its successor.
//
// So whatever the hosts believe, no account gets more in any span of time than its quota and the tolerance of
// Terms. The package does no I/O. Its times are of a clock that goes on while the machine is suspended.
package quota
