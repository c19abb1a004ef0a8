// Package soak runs real hosts as processes against the model of package site, puts a load on them,
// makes things fail by a schedule that a seed determines, and checks from what callers and members saw
// whether a promise was broken.
package soak
