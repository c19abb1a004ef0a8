// Package caller serves client connections: it accepts and authenticates them
// and groups their messages into units, which it sends to the owner of their
// group. It implements the entry role of a host.
package caller
