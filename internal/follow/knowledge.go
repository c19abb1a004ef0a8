package follow

import (
	"sync"
	"time"

	"pearlatch/core/kv"
)

// Knowledge is what a host knows of the store, and how old that is. Use NewKnowledge.
type Knowledge struct {
	now func() time.Time

	mu   sync.Mutex
	view *kv.View
	// changed is closed and replaced with each change of view, and heardAt is when the store itself was last
	// heard of.
	changed chan struct{}
	heardAt time.Time
	// lag is how old the last news were that changed anything.
	lag time.Duration
	// listed is the last whole list that was passed on, of listedAt, for further hosts that need one.
	listed   kv.Update
	listedAt time.Time
}

// NewKnowledge returns what a host knows at its start: nothing.
func NewKnowledge(later kv.NewerFunc, now func() time.Time) *Knowledge {
	return &Knowledge{now: now, view: kv.NewView(later), changed: make(chan struct{})}
}

// Apply takes over news, as kv.View.Apply does.
func (k *Knowledge) Apply(n News) (kv.ApplyResult, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	applied, err := k.view.Apply(n.Update)
	if err != nil {
		return applied, err
	}
	if heard := k.now().Add(-n.Age); heard.After(k.heardAt) {
		k.heardAt = heard
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
func (k *Knowledge) Item(key string) (kv.Item, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Item(key)
}

// Revision returns the revision up to which all changes are known, or zero before the first news.
func (k *Knowledge) Revision() kv.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Revision()
}

// Age returns how long ago the store itself was heard of.
func (k *Knowledge) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now().Sub(k.heardAt)
}

// Lag returns how long changes take until the host hears of them.
func (k *Knowledge) Lag() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lag
}

// Recent reports whether the news are recent enough to decide on what others may have changed.
func (k *Knowledge) Recent() bool { return k.Age() <= staleNews }

// After returns what changed after the revision, and what is closed with the next change.
func (k *Knowledge) After(after kv.Revision) (News, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.Revision() == 0 {
		return News{}, nil, errNoNews
	}
	n := News{Age: k.now().Sub(k.heardAt)}
	if k.view.HasChangesSince(after) {
		n.Update = k.view.Since(after)
	} else {
		n.Update = k.wholeNews(after)
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

// listReuse is how long a whole list is sent to further hosts, with what changed since after it, so that a fleet that
// starts does not have it put together and compressed for each of them.
const listReuse = time.Second

// wholeNews returns everything for a host that needs it, or a recent list from which the changes that follow are known.
// k.mu is held.
func (k *Knowledge) wholeNews(after kv.Revision) kv.Update {
	now := k.now()
	if k.listed.Revision == 0 || now.Sub(k.listedAt) > listReuse || !k.view.HasChangesSince(k.listed.Revision) {
		k.listed, k.listedAt = k.view.Since(after), now
	}
	return k.listed
}

// Trim drops the list that is kept for further hosts once it is old.
func (k *Knowledge) Trim() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now().Sub(k.listedAt) > listReuse {
		k.listed = kv.Update{}
	}
}
