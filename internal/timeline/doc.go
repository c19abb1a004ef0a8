// Package timeline counts the events in the log lines of many hosts by interval.
package timeline
