package etcd

import (
	"context"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
)

// Entry is a value of the store.
type Entry struct {
	Value []byte
	// Revision rises with each change of the key. Zero means that the key does
	// not exist.
	Revision int64
}

// Put is a key to be written.
type Put struct {
	Key   string
	Value []byte
}

// ErrConflict means that the key was changed by somebody else.
var ErrConflict = errors.New("the key has changed meanwhile")

// Store is what pearlatch needs of the platform. Another platform is one more
// implementation. Every method is one call to the service, and an error may
// come after a write has taken effect.
type Store interface {
	// Get returns the entry of a key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, by key.
	List(ctx context.Context, prefix string) (map[string]Entry, error)
	// Revision returns the revision of a key without its value.
	Revision(ctx context.Context, key string) (int64, error)
	// CompareAndSwap writes all of puts and deletes all of deletes if the key's
	// revision is still the given one, and returns the new revision or
	// ErrConflict.
	CompareAndSwap(ctx context.Context, key string, revision int64, puts []Put, deletes []string) (int64, error)
	// Watch calls changed for each change of the key after the given revision,
	// until ctx ends or the service fails.
	Watch(ctx context.Context, key string, after int64, changed func(Entry)) error
	// Grant opens a lease of the given time to live in seconds, and KeepAlive
	// renews it. PutLeased writes a key that goes with its lease.
	Grant(ctx context.Context, seconds int64) (int64, error)
	KeepAlive(ctx context.Context, lease int64) error
	PutLeased(ctx context.Context, key string, value []byte, lease int64) error
	// Hosts returns the platform's list of live and leaving hosts. It lags.
	Hosts(ctx context.Context) ([]membership.Host, error)
}

// Keys in the store.
const (
	// ConfigKey holds the configuration in force.
	ConfigKey = "/pearlatch/config"
	// HistoryPrefix precedes earlier revisions.
	HistoryPrefix = "/pearlatch/history/"
	// HostsPrefix is where the platform lists hosts.
	HostsPrefix = "/platform/hosts/"
)
