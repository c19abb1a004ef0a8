// Package host runs a pearlatch host: it serves callers, owns groups, reads the
// configuration from the platform's store and answers operators.
package host
