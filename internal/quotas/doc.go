// Package quotas keeps the client accounts of a host within their quotas: it lets operations begin, asks granters
// for tokens, and is the granter of the accounts whose duty this host holds. The decisions are package quota's;
// this one carries them between hosts.
package quotas
