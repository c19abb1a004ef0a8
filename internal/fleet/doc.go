// Package fleet keeps a host's view of the other hosts: which are listed in the store, the serving plans and update sources
// computed from that list, and which hosts answer.
package fleet
