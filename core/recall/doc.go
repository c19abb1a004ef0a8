// Package recall keeps a log of the requests that a host received lately and of their outcomes. A sender that
// lost its connection, or got no reply, asks the receiver for the outcome: a write whose reply was lost between
// two hosts need not stay in doubt, and a request that never arrived may be sent again to another host.
package recall
