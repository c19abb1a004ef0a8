package gateway

import (
	"time"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
)

// Config is the operators' configuration.
type Config struct {
	// Version increases with each configuration.
	Version int64
	// Routes holds the routes by the database name that callers give.
	Routes map[string]Route
	// Groups holds the database groups by name.
	Groups map[string]GroupConfig
	// Accounts holds the client accounts. It is nil if callers need none.
	Accounts *account.Directory
	// TransactionIdleTimeout is how long a transaction may be idle between statements.
	TransactionIdleTimeout time.Duration
}

// Route maps a database to a group and holds the settings of the database's callers.
type Route struct {
	Name  string
	Group string
	// Class is the freshness class of reads.
	Class freshness.Class
	// Timeout is the timeout of a statement.
	Timeout time.Duration
	// LatencyTarget is the target latency of an operation as a whole.
	LatencyTarget time.Duration
	// Priority is 0 for the most important route and larger for less important ones.
	Priority int
	// Public is true if callers need no account.
	Public bool
}

// GroupConfig describes a database group.
type GroupConfig struct {
	// Connections is the maximum number of connections that a member accepts from all hosts together.
	Connections int
	// SyncReplicas is the number of replicas that must have a write before it is acknowledged. The gateway does not use
	// it.
	SyncReplicas int
}

// maxStalenessByGroup returns, by group, the smallest maximum age among the group's routes. Groups without one are
// absent.
func (c *Config) maxStalenessByGroup() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, r := range c.Routes {
		age, ok := r.Class.(freshness.MaxAge)
		if known := out[r.Group]; ok && (known == 0 || age.Age < known) {
			out[r.Group] = age.Age
		}
	}
	return out
}

// hasGroup reports whether the configuration has the group.
func (c *Config) hasGroup(group string) bool {
	_, ok := c.Groups[group]
	return ok
}
