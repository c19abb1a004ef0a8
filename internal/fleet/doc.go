// Package fleet keeps what a host knows of the other hosts: who is listed in the store, what follows from that, and which of
// them answer.
package fleet
