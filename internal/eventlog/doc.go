// Package eventlog writes log lines in the background and limits their rate, so that logging never blocks the caller.
package eventlog
