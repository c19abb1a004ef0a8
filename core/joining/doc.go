// Package joining decides from whom a host that knows nothing of the store learns what is in it. It has no I/O and no
// clock: a host carries one step out, tells what came of it, and asks for the next.
package joining
