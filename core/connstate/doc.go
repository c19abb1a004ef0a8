// Package connstate keeps what a pooled connection to a member holds of the sessions that use it: their values and their
// prepared statements. It decides which commands a statement needs on the connection and which of them must have succeeded
// before the statement is sent.
package connstate
