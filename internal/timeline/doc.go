// Package timeline summarizes the log lines of many hosts by interval: which hosts ran, what they held and what failed.
package timeline
