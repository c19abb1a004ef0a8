// Package site is a model of the users' platform on loopback addresses: the store, database groups
// whose members acknowledge synchronously, promotions, and the balancer that sends callers to hosts.
// Real hosts run against it as processes. Everything that a process reaches lies behind a Proxy, which
// delays, cuts or resets what passes.
//
// The model keeps what it needs to tell afterwards whether a promise was broken: each member's log,
// with the request that made each record, and what ran in which transaction.
package site
