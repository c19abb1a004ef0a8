// Package tolerance states how far accounts may exceed their quotas while hosts can't know each other's state, and how the
// granter uses that room.
package tolerance
