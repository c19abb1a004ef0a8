package upstream

import (
	"fmt"
	"net/netip"
	"strings"

	"pearlatch/core/group"
)

// Keys of the advisory locks that pearlatch takes on members.
const (
	// OwnerLock is held on the primary by the owner of the group.
	OwnerLock = 7020
	// FenceLock is held on a member while its fence is compared and replaced.
	FenceLock = 7021
)

// The statements below are PostgreSQL 17's own: ALTER SYSTEM takes a setting
// with a custom prefix from that version on.
const (
	// StatusSQL returns the columns of a group.Status.
	StatusSQL = `SELECT pg_is_in_recovery(),` +
		` COALESCE(current_setting('pearlatch.term', true), ''),` +
		` EXISTS (SELECT 1 FROM pg_stat_wal_receiver WHERE status = 'streaming'),` +
		` CASE WHEN pg_is_in_recovery() THEN (SELECT received_tli FROM pg_stat_wal_receiver)` +
		` ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END,` +
		` (SELECT max(term) FROM pearlatch.terms),` +
		` CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_flush_lsn() END,` +
		` CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_flush_lsn() END`
	// PromoteSQL ends recovery and waits for that.
	PromoteSQL = `SELECT pg_promote()`
	// ReloadSQL makes settings of ALTER SYSTEM active.
	ReloadSQL = `SELECT pg_reload_conf()`
	// TermSQL reads the stored fence.
	TermSQL = `SELECT COALESCE(current_setting('pearlatch.term', true), '')`
	// TryOwnerLockSQL takes the owner lock unless another session holds it.
	TryOwnerLockSQL = `SELECT pg_try_advisory_lock(7020)`
	// DropOwnerLockSQL gives the owner lock back.
	DropOwnerLockSQL = `SELECT pg_advisory_unlock(7020)`
	// TakeFenceLockSQL and DropFenceLockSQL bracket a change of the fence.
	TakeFenceLockSQL = `SELECT pg_advisory_lock(7021)`
	DropFenceLockSQL = `SELECT pg_advisory_unlock(7021)`
	// ReadOnlySQL makes new transactions on a leaving primary read-only.
	ReadOnlySQL = `ALTER SYSTEM SET default_transaction_read_only = 'on'`
	// ReadWriteSQL takes ReadOnlySQL back.
	ReadWriteSQL = `ALTER SYSTEM SET default_transaction_read_only = 'off'`
	// EndOwnerSQL ends the session that holds the owner lock.
	EndOwnerSQL = `SELECT pg_terminate_backend(pid) FROM pg_locks WHERE locktype = 'advisory' AND objid = 7020`
	// EndOthersSQL ends all other client sessions.
	EndOthersSQL = `SELECT pg_terminate_backend(pid) FROM pg_stat_activity` +
		` WHERE backend_type = 'client backend' AND pid <> pg_backend_pid()`
)

// ForeignSessionsSQL returns the statement that lists the sessions of all owners but
// the one of the given application name.
func ForeignSessionsSQL(app string) string {
	return "SELECT application_name FROM pg_stat_activity WHERE application_name LIKE " +
		quote(AppPrefix+"%") + " AND application_name <> " + quote(app)
}

// EndAppSQL returns the statement that ends the sessions of an owner.
func EndAppSQL(app string) string {
	return "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name = " + quote(app)
}

// SetFenceSQL returns the statement that stores a fence.
func SetFenceSQL(f group.Fence) string {
	return "ALTER SYSTEM SET pearlatch.term = " + quote(fmt.Sprintf("%d:%s", f.Term, f.Host))
}

// FollowSQL returns the statement that makes a replica follow a primary, or
// none when addr is the zero value.
func FollowSQL(addr netip.AddrPort) string {
	conninfo := ""
	if addr.IsValid() {
		conninfo = fmt.Sprintf("host=%s port=%d", addr.Addr(), addr.Port())
	}
	return "ALTER SYSTEM SET primary_conninfo = " + quote(conninfo)
}

// WriteTermSQL returns the statement that records a new primary's term.
func WriteTermSQL(f group.Fence) string {
	return fmt.Sprintf("INSERT INTO pearlatch.terms (term, host) VALUES (%d, %s)", f.Term, quote(f.Host))
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
