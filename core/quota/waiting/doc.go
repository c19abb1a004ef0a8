// Package waiting keeps the operations of a client account that wait for tokens, and decides when refused callers are to
// come back.
//
// It addresses callers that compete for too few tokens: callers that were refused together all came back for the same
// token, used their attempts within 0.2 s, and an operation that arrived later could get the token of an earlier one.
// Waiting operations therefore get tokens in the order in which they arrived, and each refused one is told the time of a
// token of its own.
package waiting
