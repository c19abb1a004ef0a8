// Package follow keeps a host's view of the store up to date, from the store itself or from another host, and forwards
// updates to other hosts.
package follow
