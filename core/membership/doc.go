// Package membership determines which hosts are alive, from the platform's host
// list, which lags, and from probes between hosts. It also ranks hosts by which of
// them owns a database group.
package membership
