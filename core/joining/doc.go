// Package joining decides from which source a host that starts fetches the contents of the store: from the store
// itself or from another host. The package has no I/O and no clock. The caller executes one step, reports its
// result, and asks for the next.
package joining
