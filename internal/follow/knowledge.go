package follow

import (
	"sync"
	"time"

	"pearlatch/core/kv"
)

// StoreView is what a host knows of the store, and how old that is. Use NewKnowledge.
type StoreView struct {
	now func() time.Time

	mu   sync.Mutex
	view *kv.View
	// changed is closed and replaced with each change of view, and heardAt is when the store itself was last
	// heard of.
	changed     chan struct{}
	lastContact time.Time
	// lag is how old the last news were that changed anything.
	lag time.Duration
	// fullUpdate is the last whole list that was passed on, of listedAt, for further hosts that need one.
	fullUpdate   kv.Update
	fullUpdateAt time.Time
}

// NewStoreView returns what a host knows at its start: nothing.
func NewStoreView(later kv.NewerFunc, now func() time.Time) *StoreView {
	return &StoreView{now: now, view: kv.NewView(later), changed: make(chan struct{})}
}

// Apply takes over news, as kv.View.Apply does.
func (k *StoreView) Apply(n StoreUpdate) (kv.ApplyResult, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	applied, err := k.view.Apply(n.Update)
	if err != nil {
		return applied, err
	}
	if heard := k.now().Add(-n.Age); heard.After(k.lastContact) {
		k.lastContact = heard
	}
	if len(applied.Changed) > 0 {
		k.lag = n.Age
	}
	if len(applied.Changed) > 0 || k.view.Revision() != applied.PreviousRevision {
		close(k.changed)
		k.changed = make(chan struct{})
	}
	return applied, nil
}

// Item returns what is known of a key, and whether it exists.
func (k *StoreView) Item(key string) (kv.Item, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Item(key)
}

// Revision returns the revision up to which all changes are known, or zero before the first news.
func (k *StoreView) Revision() kv.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Revision()
}

// Age returns how long ago the store itself was heard of.
func (k *StoreView) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now().Sub(k.lastContact)
}

// Lag returns how long changes take until the host hears of them.
func (k *StoreView) Lag() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lag
}

// IsRecent reports whether the news are recent enough to decide on what others may have changed.
func (k *StoreView) IsRecent() bool { return k.Age() <= maxUpdateAge }

// UpdateSince returns what changed after the revision, and what is closed with the next change.
func (k *StoreView) UpdateSince(after kv.Revision) (StoreUpdate, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.Revision() == 0 {
		return StoreUpdate{}, nil, errNoUpdates
	}
	n := StoreUpdate{Age: k.now().Sub(k.lastContact)}
	if k.view.HasChangesSince(after) {
		n.Update = k.view.Since(after)
	} else {
		n.Update = k.cachedFullUpdate(after)
	}
	if n.Revision < k.view.Revision() {
		return n, closedChannel, nil // more is known already
	}
	return n, k.changed, nil
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// fullUpdateTTL is how long a whole list is sent to further hosts, with what changed since after it, so that a fleet that
// starts does not have it put together and compressed for each of them.
const fullUpdateTTL = time.Second

// cachedFullUpdate returns everything for a host that needs it, or a recent list from which the changes that follow are known.
// k.mu is held.
func (k *StoreView) cachedFullUpdate(after kv.Revision) kv.Update {
	now := k.now()
	if k.fullUpdate.Revision == 0 || now.Sub(k.fullUpdateAt) > fullUpdateTTL || !k.view.HasChangesSince(k.fullUpdate.Revision) {
		k.fullUpdate, k.fullUpdateAt = k.view.Since(after), now
	}
	return k.fullUpdate
}

// Trim drops the list that is kept for further hosts once it is old.
func (k *StoreView) Trim() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now().Sub(k.fullUpdateAt) > fullUpdateTTL {
		k.fullUpdate = kv.Update{}
	}
}
