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
	// TransactionIdle is how long a transaction may rest between statements.
	TransactionIdle time.Duration
}

// Route leads callers of a database to a group.
type Route struct {
	Name  string
	Group string
	// Class is the freshness of reads.
	Class freshness.Class
	// Timeout bounds a statement.
	Timeout time.Duration
	// Target is the latency objective of a whole operation.
	Target time.Duration
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

// shortestAge returns the shortest age that a route of the group accepts, or zero.
func (c *Config) shortestAge(group string) time.Duration {
	var out time.Duration
	for _, r := range c.Routes {
		age, ok := r.Class.(freshness.MaxAge)
		if r.Group == group && ok && (out == 0 || age.Age < out) {
			out = age.Age
		}
	}
	return out
}
