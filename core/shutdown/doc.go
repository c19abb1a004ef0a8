// Package shutdown decides what a host that has been told to stop does with its sessions, from the time since the order
// and from what each session does.
//
// Each request that the host has read is answered before the process exits. A request that has not been passed on to a
// member when its time is over is refused, and is not passed on. The outcome of one that a member still runs is reported
// as unknown, late enough for most to be known by then.
//
// The package does no I/O. Times are given as durations since the order to stop.
package shutdown
