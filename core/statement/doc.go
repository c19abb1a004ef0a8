// Package statement describes what a client asks of a database group: a
// request, which opens an exchange, and the units of protocol messages that the
// exchange consists of.
package statement
