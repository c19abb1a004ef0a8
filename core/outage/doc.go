// Package outage estimates how long an unavailable component stays unavailable. A caller whose deadline ends before
// the component is available again can then be refused at once and told when to retry.
package outage
