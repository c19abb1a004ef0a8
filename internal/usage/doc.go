// Package usage counts, for the operators of a host, what waits and what was refused: for each database group and for
// each client account, by cause.
//
// When accounts compete for too little capacity, tens of thousands of attempts are refused in a few seconds, and the log
// bounds its lines. An operator must still be able to tell from one host which accounts are refused and whether the cause
// is their quota, the load of a group or the loss of a primary. A configuration may have 10,000 accounts, so the counts
// are bounded: the largest accounts are listed by name and all others as one.
//
// A refusal is counted once, by the host that decided it: quotas by the host that the caller is connected to, load and
// lost primaries by the host that serves the group.
package usage
