package etcd

import (
	"context"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
)

// Entry is the value of a key in the store.
type Entry struct {
	Value []byte
	// Revision is the revision of the last change of the key. It increases with
	// each change. Zero means that the key does not exist.
	Revision int64
}

// Put is a key and the value to write to it.
type Put struct {
	Key   string
	Value []byte
}

// ErrConflict means that the key is no longer at the expected revision.
var ErrConflict = errors.New("the key has changed meanwhile")

// Store is the interface to the platform; each kind of platform is one
// implementation. Every method makes one call to the service. A write may have
// taken effect although its method returns an error.
type Store interface {
	// Get returns the entry of a key, or the zero entry if the key does not
	// exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, as a map from key
	// to entry.
	List(ctx context.Context, prefix string) (map[string]Entry, error)
	// Revision returns the revision of a key, or zero if the key does not exist.
	// It does not transfer the value.
	Revision(ctx context.Context, key string) (int64, error)
	// CompareAndSwap atomically writes all puts and deletes all keys of deletes
	// if the key is still at the given revision. It returns the new revision, or
	// ErrConflict if the key has another revision.
	CompareAndSwap(ctx context.Context, key string, revision int64, puts []Put, deletes []string) (int64, error)
	// Watch calls changed for each change of the key after the given revision.
	// It returns an error when ctx ends or the service fails.
	Watch(ctx context.Context, key string, after int64, changed func(Entry)) error
	// Grant creates a lease with the given time to live, in seconds, and returns
	// its ID. KeepAlive renews the lease; it fails if the lease has expired.
	// PutLeased writes a key that is deleted when its lease expires.
	Grant(ctx context.Context, seconds int64) (int64, error)
	KeepAlive(ctx context.Context, lease int64) error
	PutLeased(ctx context.Context, key string, value []byte, lease int64) error
	// Hosts returns the platform's list of live and leaving hosts. The list may
	// be out of date.
	Hosts(ctx context.Context) ([]membership.Host, error)
}

// Keys in the store.
const (
	// ConfigKey holds the configuration in force.
	ConfigKey = "/pearlatch/config"
	// HistoryPrefix is the prefix of the keys of the revision history.
	HistoryPrefix = "/pearlatch/history/"
	// HostsPrefix is the prefix of the keys of the platform's list of hosts.
	HostsPrefix = "/platform/hosts/"
)
