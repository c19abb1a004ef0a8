// Package lab runs pearlatch hosts and their stand-ins in one process, puts a
// load on them, causes faults and checks what callers saw.
package lab
