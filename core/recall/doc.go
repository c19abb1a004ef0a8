// Package recall remembers which requests a host got lately, and what became of them, so that a sender whose
// connection broke, or went silent, can find out: a write whose answer got lost between two hosts need not stay in
// doubt, and one that never arrived may be sent again elsewhere.
package recall
