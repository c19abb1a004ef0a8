// Package controlconn holds a host's connection to a member for control commands.
//
// A coordinator that needs a connection to fence a member, while callers' connections use up the member's limit, could not
// open one. The connection is therefore kept between commands, used by one command at a time, and opened again after a
// failure. A host that is not the coordinator closes it when it has been idle.
package controlconn
