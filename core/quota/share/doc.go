// Package share divides an account's quota among reserves, other portions and the granter's pool.
//
// It answers the refusals while no granter is known or a granter is new: reserves of half of a quota refuse callers of
// accounts that ask for 0.62 of it on a usual day. With larger portions the reserves cover them, and the granter's pool
// keeps less for hosts that hold nothing.
package share
