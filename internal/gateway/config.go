package gateway

import (
	"time"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
)

// Config is the operators' configuration.
type Config struct {
	// Version only rises.
	Version int64
	// Routes holds routes by the database that callers name.
	Routes map[string]Route
	// Groups holds database groups by name.
	Groups map[string]GroupConfig
	// Accounts are the client accounts, or nil where callers need none.
	Accounts *account.Directory
	// TransactionIdleTimeout is how long a transaction may rest between statements.
	TransactionIdleTimeout time.Duration
}

// Route leads callers of a database to a group.
type Route struct {
	Name  string
	Group string
	// Class is the freshness of reads.
	Class freshness.Class
	// Timeout bounds a statement.
	Timeout time.Duration
	// LatencyTarget is the latency objective of a whole operation.
	LatencyTarget time.Duration
	// Priority is 0 for the most important.
	Priority int
	// Public routes ask callers for no account.
	Public bool
}

// GroupConfig describes a database group.
type GroupConfig struct {
	// Connections is the most connections that a member takes from all hosts.
	Connections int
	// SyncReplicas is how many replicas hold a write before it is acknowledged.
	SyncReplicas int
}

// maxStalenessByGroup returns, by group, the shortest age that one of its routes accepts.
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

// hasGroup reports whether there is such a group.
func (c *Config) hasGroup(group string) bool {
	_, ok := c.Groups[group]
	return ok
}
