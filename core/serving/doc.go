// Package serving decides which hosts serve a database group whose members
// acknowledge writes themselves. A host that serves a group has connections to its
// members and runs statements on them. If the members accept too few connections for
// all hosts, a few hosts serve the group and the others forward statements to them.
//
// The package also decides from which hosts a host receives updates of the store.
package serving
