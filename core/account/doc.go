// Package account decides who a caller acts for. A client account has keys, of which its callers
// show one, and a quota: how many operations it may begin, over all hosts together.
//
// Only hashes of keys are kept, so that no dump, line or message of a host can show a key. The
// package does no I/O.
package account
