package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/internal/follow"
	"pearlatch/internal/pause"
)

// writeMemberEntry writes a member's entry. An empty state removes the entry.
func (s *fakeSite) writeMemberEntry(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "" {
		s.removeLocked("members/" + id)
		return
	}
	role := "replica"
	if s.member(id).isPrimary {
		role = "primary"
	}
	s.putLocked("members/"+id, s.member(id).entry(state, role), 0)
}

// put writes a key under a lease, or under none if lease is zero, and returns the new revision.
func (s *fakeSite) put(key string, value []byte, lease int64) kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, lease)
}

// putLocked is put with s.mu held.
func (s *fakeSite) putLocked(key string, value []byte, lease int64) kv.Revision {
	s.revision++
	created := s.revision.Number()
	if old, ok := s.items[key]; ok && !old.Removed {
		created = old.Created
	}
	s.items[key] = kv.Item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.keyLease[key] = lease
	s.wake()
	return s.revision
}

// removeLocked removes a key. s.mu must be held.
func (s *fakeSite) removeLocked(key string) {
	s.revision++
	s.items[key] = kv.Item{Key: key, Revision: s.revision, Removed: true}
	s.wake()
}

// wake wakes all watches. s.mu must be held.
func (s *fakeSite) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes expired leases and their keys. s.mu must be held.
func (s *fakeSite) expire() {
	now := time.Now()
	for lease, until := range s.leases {
		if now.Before(until) {
			continue
		}
		delete(s.leases, lease)
		for key, l := range s.keyLease {
			if l == lease && !s.items[key].Removed {
				s.removeLocked(key)
			}
		}
	}
}

// storeBackup is a backup of the store's content.
type storeBackup struct {
	items    map[string]kv.Item
	revision kv.Revision
	// leases holds the remaining time of each lease.
	leases   map[int64]time.Duration
	keyLease map[string]int64
}

// backup returns a backup of the store's current content.
func (s *fakeSite) backup() storeBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := storeBackup{maps.Clone(s.items), s.revision, map[int64]time.Duration{}, maps.Clone(s.keyLease)}
	for lease, until := range s.leases {
		b.leases[lease] = time.Until(until)
	}
	return b
}

// restore restores the store from a backup in a new epoch. Later changes are lost, and their revision numbers are assigned
// again.
func (s *fakeSite) restore(b storeBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := s.revision.Epoch() + 1
	s.items, s.revision, s.keyLease = map[string]kv.Item{}, kv.NewRevision(epoch, b.revision.Number()), maps.Clone(b.keyLease)
	for key, i := range b.items {
		i.Revision = kv.NewRevision(epoch, i.Revision.Number())
		s.items[key] = i
	}
	s.leases = map[int64]time.Time{}
	for lease, left := range b.leases {
		s.leases[lease] = time.Now().Add(left)
	}
	s.wake()
}

// errStoreDown is the error of calls to a store that does not answer or rejects them.
var errStoreDown = errors.New("the store does not answer")

// reach simulates the faults of the path to the store: a delay, an outage without answers, or a refusal of all calls.
func (s *fakeSite) reach(ctx context.Context) error {
	s.mu.Lock()
	down, refusing, delay := s.storeDown, s.storeRefusing, s.storeDelay
	s.expire()
	s.mu.Unlock()
	if delay > 0 && !pause.For(ctx, delay) {
		return ctx.Err()
	}
	if down && !refusing {
		<-ctx.Done()
	}
	if down || refusing {
		return errStoreDown
	}
	return nil
}

func (s *fakeSite) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	if err := s.reach(ctx); err != nil {
		return kv.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages++
	out := kv.Page{Snapshot: kv.Snapshot{Revision: s.revision}}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if i := s.items[key]; !strings.HasPrefix(key, r.Prefix) || key <= r.After || i.Removed {
			continue
		}
		if out.More = s.pageItems > 0 && len(out.Items) == s.pageItems; out.More {
			break
		}
		out.Items = append(out.Items, s.items[key])
	}
	return out, nil
}

func (s *fakeSite) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Snapshot, error) {
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		if err := s.reach(ctx); err != nil {
			return kv.Snapshot{}, err
		}
		s.mu.Lock()
		out, changed := kv.Snapshot{Revision: s.revision}, s.changed
		if after.Number() > s.revision.Number() {
			s.mu.Unlock()
			return kv.Snapshot{}, follow.ErrCompacted
		}
		for _, i := range s.items {
			if i.Revision.Number() > after.Number() {
				out.Items = append(out.Items, i)
			}
		}
		s.mu.Unlock()
		if len(out.Items) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // checks for expired leases
		case <-until.C:
			return out, nil
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
}

func (s *fakeSite) Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	for _, e := range t.Preconditions {
		old := s.items[e.Key]
		if old.Removed {
			old.Revision = 0
		}
		if old.Revision.Number() != e.Revision.Number() {
			return 0, ErrConflict
		}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, ErrNoLease
		}
	}
	before := s.revision
	for _, w := range t.Writes {
		s.revision = before // all changes of a transaction have the same revision
		s.putLocked(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Deletes {
		s.revision = before
		s.removeLocked(key)
	}
	return s.revision, nil
}

func (s *fakeSite) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	lease := s.revision.Number()
	s.leases[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (s *fakeSite) Renew(ctx context.Context, lease int64) (kv.Epoch, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return 0, ErrNoLease
	}
	s.renewals++
	s.leases[lease] = time.Now().Add(coordinatorLeaseTTL)
	return s.revision.Epoch(), nil
}

func (s *fakeSite) End(ctx context.Context, lease int64) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; ok {
		s.leases[lease] = time.Now()
		s.expire()
	}
	return nil
}

// setDown makes the store stop answering, or answer again.
func (s *fakeSite) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
}

// setRefusing makes the store reject all calls immediately, or accept them again.
func (s *fakeSite) setRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeRefusing = refusing
}
