// Package eventlog writes log lines in the background, bounded in number, so that
// logging never holds up what it reports.
package eventlog
