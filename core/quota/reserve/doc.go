// Package reserve decides which reserve holder a host asks for tokens while it can't get them from the granter of a quota.
//
// It addresses the loss of a granter: most hosts have too little demand of an account for a portion of its quota, so all
// its callers were refused until there was a new granter that knew what all hosts hold. A few hosts, the reserve holders,
// hold portions for the callers of all hosts; see package quota.
package reserve
