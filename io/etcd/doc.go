// Package etcd is the client of the platform's key-value service, which it
// reaches through the HTTP/JSON gateway of the etcd v3 API. The service holds the
// configuration and, under a prefix of its own, the platform's list of hosts.
package etcd
