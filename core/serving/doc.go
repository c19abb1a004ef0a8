// Package serving decides which hosts serve a database group whose members
// acknowledge writes themselves, to which of these hosts another host forwards
// statements, and from which hosts a host receives updates of the store.
package serving
