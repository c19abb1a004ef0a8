package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/internal/follow"
	"pearlatch/internal/hostmetrics"
)

// instrumentedStore records the count, result and duration of the calls to a store.
type instrumentedStore struct {
	store   Store
	metrics hostmetrics.Recorder
	now     func() time.Time
}

var _ Store = instrumentedStore{}

// observe records a call that started at the given time and returned err.
func (s instrumentedStore) observe(kind string, started time.Time, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, ErrConflict):
		result = "conflict"
	case errors.Is(err, ErrNoLease):
		result = "no_lease"
	case errors.Is(err, follow.ErrCompacted):
		result = "compacted"
	default:
		result = "failed"
	}
	s.metrics.StoreCall(kind, result, s.now().Sub(started))
}

// List implements Store.
func (s instrumentedStore) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	started := s.now()
	out, err := s.store.List(ctx, r)
	kind := "list"
	if r.AllowStale {
		kind = "list_stale"
	}
	s.observe(kind, started, err)
	return out, err
}

// Watch implements Store.
func (s instrumentedStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Snapshot, error) {
	started := s.now()
	out, err := s.store.Watch(ctx, prefix, after, wait)
	s.observe("watch", started, err)
	return out, err
}

// Commit implements Store.
func (s instrumentedStore) Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	started := s.now()
	out, err := s.store.Commit(ctx, t)
	s.observe("commit", started, err)
	return out, err
}

// Grant implements Store.
func (s instrumentedStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	started := s.now()
	out, err := s.store.Grant(ctx, ttl)
	s.observe("grant", started, err)
	return out, err
}

// Renew implements Store.
func (s instrumentedStore) Renew(ctx context.Context, lease int64) (kv.Epoch, error) {
	started := s.now()
	epoch, err := s.store.Renew(ctx, lease)
	s.observe("renew", started, err)
	return epoch, err
}

// End implements Store.
func (s instrumentedStore) End(ctx context.Context, lease int64) error {
	started := s.now()
	err := s.store.End(ctx, lease)
	s.observe("end", started, err)
	return err
}
