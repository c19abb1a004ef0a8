package follow

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

// StoreUpdate is what changed in the store, as another host passes it on.
type StoreUpdate struct {
	kv.Update
	// Age is how long ago the store itself was heard of.
	Age time.Duration
	// Referrals is not empty if the host passes on to too many others already. Then there are no news, and these hosts
	// have them.
	Referrals []netip.AddrPort
}

// Feed is a stream of the store's news from another host.
type Feed interface {
	// Next waits for news, at most for the given time.
	Next(atMost time.Duration) (StoreUpdate, error)
	Close()
}

// Peers reaches other hosts.
type Peers interface {
	// Feed lets the host pass on what changed in the store after the revision.
	Feed(ctx context.Context, to netip.AddrPort, after kv.Revision) (Feed, error)
}

// Store is what is read of the platform's store.
type Store interface {
	// List returns the first items of a range.
	List(ctx context.Context, r kv.Range) (kv.Page, error)
	// Watch waits for changes after the revision, at most for wait, and returns
	// them with the revision to go on from. ErrCompacted means that the changes
	// are no longer kept. If the revision to go on from is of another epoch, the changes do not
	// follow on those before.
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Snapshot, error)
}

// ErrCompacted means that the store no longer keeps the changes asked for.
var ErrCompacted = errors.New("the history asked for is no longer kept")
