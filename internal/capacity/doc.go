// Package capacity computes the cost of a fleet for each of its hosts from measurements that were taken on one machine.
package capacity
