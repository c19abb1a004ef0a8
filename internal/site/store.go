package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"pearlatch/core/kv"
	"pearlatch/internal/follow"
	"pearlatch/internal/gateway"
	"pearlatch/internal/pause"
	"pearlatch/platform"
)

// Store is the platform's store in memory. Use NewStore.
type Store struct {
	mu       sync.Mutex
	revision kv.Revision
	items    map[string]kv.Item
	// leaseOf holds the lease under which a key lies.
	leaseOf map[string]int64
	leases  map[int64]*lease
	// history holds the changes after forgotten, in order.
	history   []kv.Item
	forgotten kv.Revision
	// changed is closed and replaced with each change.
	changed chan struct{}
	faults  StoreFaults
}

// lease is the life of keys.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// StoreFaults say how the store misbehaves. The zero value is a store that is well.
type StoreFaults struct {
	// Refusing answers each call with an error, and Silent none.
	Refusing, Silent bool
	// Slow is how long each answer takes.
	Slow time.Duration
	// LoseAnswers is the share of writes that are done and not answered.
	LoseAnswers float64
	// TurnsAway holds the hosts that are refused while others are served.
	TurnsAway map[netip.Addr]bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, items: map[string]kv.Item{}, leaseOf: map[string]int64{}, leases: map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the store's faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Forget drops the history: watches from before must read everything anew.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// Write writes a key for the operator or a member, or removes it if value is nil. It returns false
// while the store does not answer.
func (s *Store) Write(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refusing || s.faults.Silent {
		return false
	}
	switch old, ok := s.items[key]; {
	case value == nil && ok:
		s.remove(key)
	case value != nil && (!ok || string(old.Value) != string(value)):
		s.put(key, value, 0)
	}
	return true
}

func (s *Store) put(key string, value []byte, id int64) {
	s.revision++
	i := kv.Item{Key: key, Value: value, Revision: s.revision, Created: s.revision.Number()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key], s.leaseOf[key] = i, id
	s.record(i)
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	delete(s.leaseOf, key)
	s.record(kv.Item{Key: key, Revision: s.revision, Removed: true})
}

// commit carries a transaction out, under one revision.
func (s *Store) commit(t kv.Transaction) {
	before := s.revision
	for _, w := range t.Writes {
		s.revision = before
		s.put(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Deletes {
		s.revision = before
		s.remove(key)
	}
}

func (s *Store) record(i kv.Item) {
	s.history = append(s.history, i)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over, with their keys.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.ends) {
			s.end(id)
		}
	}
}

// end ends a lease with its keys.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, l := range s.leaseOf {
		if l == id && id != 0 {
			s.remove(key)
		}
	}
}

// For returns the store as a host reaches it.
func (s *Store) For(host netip.Addr) gateway.Store { return storeView{s, host} }

// storeView is the store as one host reaches it.
type storeView struct {
	store *Store
	host  netip.Addr
}

var _ gateway.Store = storeView{}

// enter begins a call. Without an error the store is locked.
func (v storeView) enter(ctx context.Context) error {
	s := v.store
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.Silent:
		<-ctx.Done()
		return platform.ErrNoAnswer
	case f.Refusing || f.TurnsAway[v.host]:
		return platform.ErrRateLimited
	case f.Slow > 0 && !pause.For(ctx, f.Slow):
		return platform.ErrNoAnswer
	}
	s.mu.Lock()
	s.expire(time.Now())
	return nil
}

// leave ends a call that has written. Its answer may get lost.
func (v storeView) leave(err error) error {
	lost := err == nil && rand.Float64() < v.store.faults.LoseAnswers
	v.store.mu.Unlock()
	if lost {
		return platform.ErrNoAnswer
	}
	return err
}

// List implements gateway.Store.
func (v storeView) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	if err := v.enter(ctx); err != nil {
		return kv.Page{}, err
	}
	defer v.store.mu.Unlock()
	out := kv.Page{Snapshot: kv.Snapshot{Revision: v.store.revision}}
	for _, key := range slices.Sorted(maps.Keys(v.store.items)) {
		if !strings.HasPrefix(key, r.Prefix) || key <= r.After {
			continue
		}
		if out.More = len(out.Items) == pageItems; out.More {
			break
		}
		out.Items = append(out.Items, v.store.items[key])
	}
	return out, nil
}

// pageItems is the most that a page of a list holds.
const pageItems = 500

// Watch implements gateway.Store.
func (v storeView) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if err := v.enter(ctx); err != nil {
			return kv.Snapshot{}, err
		}
		s := v.store
		out, changed := kv.Snapshot{Revision: s.revision}, s.changed
		// A watcher names the number that it knows, whatever the epoch was.
		after := kv.NewRevision(s.revision.Epoch(), after.Number())
		forgotten := after < s.forgotten || after > s.revision
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				out.Items = append(out.Items, i)
			}
		}
		s.mu.Unlock()
		if forgotten {
			return kv.Snapshot{}, follow.ErrCompacted
		}
		if len(out.Items) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-time.After(leasePoll):
		case <-ctx.Done():
			return out, nil
		}
	}
}

// leasePoll is how often a watch looks for leases that have ended.
const leasePoll = 100 * time.Millisecond

// Commit implements gateway.Store.
func (v storeView) Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	if err := v.enter(ctx); err != nil {
		return 0, err
	}
	s := v.store
	for _, e := range t.Preconditions {
		if s.items[e.Key].Revision.Number() != e.Revision.Number() {
			return 0, v.leave(gateway.ErrConflict)
		}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, v.leave(gateway.ErrNoLease)
		}
	}
	s.commit(t)
	written := s.revision
	return written, v.leave(nil)
}

// Grant implements gateway.Store.
func (v storeView) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := v.enter(ctx); err != nil {
		return 0, err
	}
	s := v.store
	s.revision++
	id := 1 + rand.Int64N(lastLease)
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	return id, v.leave(nil)
}

// lastLease is the highest number of a lease. They are drawn, so that none is given out twice though revisions are.
const lastLease = 1 << 48

// Renew implements gateway.Store.
func (v storeView) Renew(ctx context.Context, id int64) (kv.Epoch, error) {
	if err := v.enter(ctx); err != nil {
		return 0, err
	}
	epoch, l := v.store.revision.Epoch(), v.store.leases[id]
	if l == nil {
		return 0, v.leave(gateway.ErrNoLease)
	}
	l.ends = time.Now().Add(l.ttl)
	return epoch, v.leave(nil)
}

// End implements gateway.Store.
func (v storeView) End(ctx context.Context, id int64) error {
	if err := v.enter(ctx); err != nil {
		return err
	}
	if v.store.leases[id] == nil {
		return v.leave(gateway.ErrNoLease)
	}
	v.store.end(id)
	return v.leave(nil)
}
