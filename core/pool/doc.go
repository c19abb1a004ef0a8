// Package pool decides which connection to a member of a database group a
// statement gets, and which connections are opened and closed. The order in which
// statements wait is that of core/admission.
//
// A connection belongs to the client account for which it was opened. Members
// accept few connections, far fewer than the number of accounts times the
// number of hosts, and opening a connection takes as long as a statement and
// occupies one of the member's slots. The connections of a host are therefore a
// cache: statements prefer members to which their account has a connection, and
// the connection that is least likely to be used soon is closed to make room.
//
// The package does no I/O and does not read the clock. Its callers report what
// happened and when, and carry out the actions that they get in return.
package pool
