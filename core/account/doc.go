// Package account decides which client account a caller acts for. A client account has keys, of which its callers
// present one, and a quota: how many operations it may begin, over all hosts together.
//
// Only hashes of keys are kept, so that no dump, log line or message of a host can reveal a key. The package does no
// I/O.
package account
