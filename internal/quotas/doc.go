// Package quotas enforces the quotas of client accounts on a host: it admits operations, requests tokens from granters and
// reserve holders, gives tokens of reserves to other hosts, and is the granter of the accounts whose duty this host holds.
// Package quota makes the decisions; this package exchanges them between hosts.
package quotas
