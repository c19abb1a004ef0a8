// Package follow keeps a host's knowledge of the store up to date, from the store itself or from another host, and passes it
// on to further hosts.
package follow
