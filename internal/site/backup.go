package site

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/kv"
)

// Backup is a copy of what a store held. Use Store.Backup.
type Backup struct {
	revision  kv.Revision
	items     map[string]kv.Item
	leaseOf   map[string]int64
	leases    map[int64]lease
	history   []kv.Item
	forgotten kv.Revision
	taken     time.Time
}

// Backup copies the store.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Backup{
		revision: s.revision, items: maps.Clone(s.items), leaseOf: maps.Clone(s.leaseOf), leases: map[int64]lease{},
		history: slices.Clone(s.history), forgotten: s.forgotten, taken: time.Now(),
	}
	for id, l := range s.leases {
		b.leases[id] = *l
	}
	return b
}

// Restore brings the store back from a copy: what was written since is gone, leases too, and its revisions are given
// out again, in the next epoch. Leases of the copy have as long left as they had then.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := s.revision.Epoch() + 1
	again := func(r kv.Revision) kv.Revision { return kv.NewRevision(epoch, r.Number()) }
	s.revision, s.forgotten, s.leaseOf = again(b.revision), again(b.forgotten), maps.Clone(b.leaseOf)
	s.items, s.leases, s.history = map[string]kv.Item{}, map[int64]*lease{}, nil
	for key, i := range b.items {
		i.Revision = again(i.Revision)
		s.items[key] = i
	}
	for _, i := range b.history {
		i.Revision = again(i.Revision)
		s.history = append(s.history, i)
	}
	for id, l := range b.leases {
		s.leases[id] = &lease{l.ttl, l.ends.Add(time.Since(b.taken))}
	}
	s.wake()
}
