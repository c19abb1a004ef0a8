// Package holder tracks which hosts may hold reserves, for a successor of the granter.
//
// It answers the failure that a host is gone without a trace while the granter is replaced: a new granter then keeps back
// what that host may hold until it must have expired. That is 0.3 of each quota for a host that may hold reserves. All
// other hosts together hold 0.1, so the record that the granter leaves for its successor names the former.
package holder
