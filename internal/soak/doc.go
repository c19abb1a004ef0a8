// Package soak runs pearlatch hosts as processes against the simulated platform of package site, under
// load. It injects faults by a schedule that a seed determines, and checks the guarantees to callers
// against what callers and members observed.
package soak
