package follow

import (
	"net/netip"
	"sync"
	"time"

	"pearlatch/core/kv"
)

// minContactAdvance is by how much the store's last contact must be later than the one sent before for the feeds to send it
// at once. If each host of a path sent it only with its next heartbeat, the updates of a path of three hosts would count as
// old although all of them are up to date.
const minContactAdvance = 500 * time.Millisecond

// StoreView is a host's view of the store's contents, and the age of that view. Use NewStoreView to create one. Its
// methods may be called from several goroutines.
type StoreView struct {
	now func() time.Time

	mu   sync.Mutex
	view *kv.View
	// changed is closed and replaced when the feeds have something to send: a change of view, or a lastContact that is at
	// least minContactAdvance later. lastContact is when the store itself last confirmed the view, directly or through
	// other hosts.
	changed     chan struct{}
	lastContact time.Time
	// sentContact is lastContact when changed was last replaced.
	sentContact time.Time
	// path holds the hosts through which the host receives its updates, see StoreUpdate.Path.
	path []netip.AddrPort
	// lag is the age of the last update that changed an item.
	lag time.Duration
	// fullUpdate is the last full update that was forwarded, built at fullUpdateAt. It is reused for other hosts that
	// need one.
	fullUpdate   kv.Update
	fullUpdateAt time.Time
	// storeRead is closed when the read of the whole store that goes on ends. It is nil while none goes on.
	storeRead chan struct{}
}

// NewStoreView returns the empty view of a host that has just started. newer may be nil if no values carry versions.
func NewStoreView(newer kv.NewerFunc, now func() time.Time) *StoreView {
	return &StoreView{now: now, view: kv.NewView(newer), changed: make(chan struct{})}
}

// Apply applies an update. Its errors are those of kv.View.Apply.
func (v *StoreView) Apply(u StoreUpdate) (kv.ApplyResult, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	applied, err := v.view.Apply(u.Update)
	if err != nil {
		return applied, err
	}
	if contact := v.now().Add(-u.Age); contact.After(v.lastContact) {
		v.lastContact = contact
	}
	if len(applied.Changed) > 0 {
		v.lag = u.Age
	}
	if len(applied.Changed) > 0 || v.view.Revision() != applied.PreviousRevision || v.lastContact.Sub(v.sentContact) >= minContactAdvance {
		close(v.changed)
		v.changed, v.sentContact = make(chan struct{}), v.lastContact
	}
	return applied, nil
}

// SetPath sets the hosts through which the host receives its updates, see StoreUpdate.Path. The slice must not be changed.
func (v *StoreView) SetPath(path []netip.AddrPort) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.path = path
}

// beginStoreRead records that the host reads the whole store, until the returned function is called.
func (v *StoreView) beginStoreRead() (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	read := make(chan struct{})
	v.storeRead = read
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.storeRead = nil
		close(read)
	}
}

// firstStoreRead returns a channel that is closed when the read of the whole store in progress ends. It returns nil if
// there is none, or if the view is not empty.
func (v *StoreView) firstStoreRead() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.view.Revision() != 0 {
		return nil
	}
	return v.storeRead
}

// Item returns the known item of a key, and whether the key exists.
func (v *StoreView) Item(key string) (kv.Item, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view.Item(key)
}

// Revision returns the revision up to which the view includes all changes, or zero before the first update.
func (v *StoreView) Revision() kv.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view.Revision()
}

// Age returns the time since the store itself last confirmed the view.
func (v *StoreView) Age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now().Sub(v.lastContact)
}

// Lag returns how long changes take to reach this host, as seen with the last change.
func (v *StoreView) Lag() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lag
}

// IsRecent reports whether the view is recent enough for decisions that depend on changes by other hosts.
func (v *StoreView) IsRecent() bool { return v.Age() <= maxUpdateAge }

// UpdateSince returns an update with the changes after the given revision, and a channel that is closed when there are
// more changes. It returns an error before the first update.
func (v *StoreView) UpdateSince(after kv.Revision) (StoreUpdate, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.view.Revision() == 0 {
		return StoreUpdate{}, nil, errNoUpdates
	}
	u := StoreUpdate{Age: v.now().Sub(v.lastContact), Path: v.path}
	if v.view.HasChangesSince(after) {
		u.Update = v.view.Since(after)
	} else {
		u.Update = v.cachedFullUpdate(after)
	}
	if u.Revision < v.view.Revision() {
		return u, closedChannel, nil // the cached full update is older than the view: there are more changes
	}
	return u, v.changed, nil
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// fullUpdateTTL is how long a full update is reused for other hosts, which get the changes after it in their next update.
// Without reuse, a starting fleet would make this host build and compress one for each of them.
const fullUpdateTTL = time.Second

// cachedFullUpdate returns a recent full update whose subsequent changes are known, and builds it if necessary. v.mu must
// be held.
func (v *StoreView) cachedFullUpdate(after kv.Revision) kv.Update {
	now := v.now()
	if v.fullUpdate.Revision == 0 || now.Sub(v.fullUpdateAt) > fullUpdateTTL || !v.view.HasChangesSince(v.fullUpdate.Revision) {
		v.fullUpdate, v.fullUpdateAt = v.view.Since(after), now
	}
	return v.fullUpdate
}

// Trim drops the cached full update once it has expired.
func (v *StoreView) Trim() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.now().Sub(v.fullUpdateAt) > fullUpdateTTL {
		v.fullUpdate = kv.Update{}
	}
}
