package follow

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

// StoreUpdate is an update of the store's contents, read from the store or forwarded by another host.
type StoreUpdate struct {
	kv.Update
	// Age is the time since the contents were last confirmed by the store itself.
	Age time.Duration
	// Path holds the hosts through which the sender receives its updates, the nearest first. It is empty for a host that
	// reads the store.
	Path []netip.AddrPort
	// Referrals are hosts that can send updates. If there are any, the sender already forwards to too many hosts, and
	// this StoreUpdate contains no update.
	Referrals []netip.AddrPort
}

// Feed is a stream of store updates from another host.
type Feed interface {
	// Next waits for the next update, no longer than timeout.
	Next(timeout time.Duration) (StoreUpdate, error)
	Close()
}

// Peers opens feeds from other hosts.
type Peers interface {
	// Feed opens a feed of the host at the address.
	Feed(ctx context.Context, to netip.AddrPort, r FeedRequest) (Feed, error)
}

// FeedRequest asks another host for a feed.
type FeedRequest struct {
	// After is the revision after which the changes are sent.
	After kv.Revision
	// Receiver is the address of the host that asks. Hosts of earlier versions leave it empty.
	Receiver netip.AddrPort
}

// Store reads the platform's store.
type Store interface {
	// List returns the first items of a range.
	List(ctx context.Context, r kv.Range) (kv.Page, error)
	// Watch waits up to wait for changes after the given revision. It returns them with the revision to continue from.
	// ErrCompacted means that the store no longer keeps the changes, and ErrTooLong that they must be listed. If the returned revision is of another epoch, the
	// changes do not continue the previous ones.
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Snapshot, error)
}

// ErrCompacted means that the store no longer keeps the requested changes.
var ErrCompacted = errors.New("the history asked for is no longer kept")

// ErrTooLong means that the requested changes are too long for one response.
var ErrTooLong = errors.New("the changes are too long for one response")

// needsList reports whether a watch failed with an error after which it fails again, until the whole store has been read.
func needsList(err error) bool { return errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLong) }
