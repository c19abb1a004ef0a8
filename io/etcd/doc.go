// Package etcd speaks to the platform: its key-value service, through the
// published HTTP/JSON form of the etcd v3 API, and its list of hosts, which
// stands under a prefix of that service.
package etcd
