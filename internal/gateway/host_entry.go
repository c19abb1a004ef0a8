package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/membership"
	"pearlatch/internal/fleet"
	"pearlatch/internal/follow"
	"pearlatch/internal/pause"
)

func (h *Host) hostsPrefix() string { return h.ports.Keys.OwnPrefix + "hosts/" }

const (
	// hostEntryTTL is the TTL of the lease of a host's entry. It outlives a short outage of the store. A dead
	// host's share of the connections goes to other hosts only after it. Until then other hosts notice on their own
	// that it does not answer.
	hostEntryTTL = 16 * time.Second
	// hostEntryRenewInterval is the time between two renewals. The entry survives two lost renewals. Renewals are most of
	// the load that an idle fleet puts on the store.
	hostEntryRenewInterval = 5 * time.Second
	// storeTimeout is the timeout of store calls that concern leases and entries.
	storeTimeout = time.Second
)

// maintainHostEntry keeps the host's entry in the store until Stop is called or ctx ends. Then it marks the entry as
// leaving: other hosts send no new requests, and open ones can finish.
func (h *Host) maintainHostEntry(ctx context.Context) {
	ctx, cancel := pause.Until(ctx, h.stopped)
	defer cancel()
	select {
	case <-h.storeRead: // the store answers, and an entry of an earlier process is known
	case <-ctx.Done():
	}
	var lease int64
	var epoch kv.Epoch // the epoch in which the entry was written
	for ctx.Err() == nil {
		if lease == 0 {
			lease, epoch = h.createHostEntry(ctx, h.self())
		} else if current, err := h.renewStoreLease(ctx, lease); errors.Is(err, ErrNoLease) || err == nil && current != epoch {
			// A restored store may have the lease but not the entry, so both are created again.
			lease = 0
			continue
		}
		next := hostEntryRenewInterval
		if lease == 0 {
			next = follow.MaxStoreBackoff
		}
		if !pause.For(ctx, next) {
			break
		}
	}
	h.announceLeaving(lease)
}

// self returns this host as other hosts see it.
func (h *Host) self() membership.Host { return h.fleet.Self() }

// announceLeaving marks the host's entry as leaving. The entry is not removed but expires with its lease: hosts that first
// read the list after a removal would assume that this host's entry had expired and that it may still be serving.
func (h *Host) announceLeaving(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	leaving := h.self()
	leaving.Leaving = true
	if _, err := h.writeHostEntry(ctx, leaving, lease); err != nil {
		h.log("announce", "err", err)
	}
}

// readKey returns the item of a key from the store. The item of a missing key has revision zero.
func (h *Host) readKey(ctx context.Context, key string) (kv.Item, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s, err := h.ports.Store.List(call, kv.Range{Prefix: key})
	if err != nil {
		return kv.Item{}, err
	}
	for _, i := range s.Items {
		if i.Key == key {
			return i, nil
		}
	}
	return kv.Item{Key: key}, nil
}

// renewStoreLease renews a lease and returns the epoch in which the lease exists. The error is ErrNoLease if the lease has
// ended.
func (h *Host) renewStoreLease(ctx context.Context, lease int64) (kv.Epoch, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.ports.Store.Renew(call, lease)
}

// endStoreLease ends a lease, so that other hosts need not wait for its expiry. A zero lease is ignored.
func (h *Host) endStoreLease(lease int64) {
	if lease == 0 {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := h.ports.Store.End(call, lease); err != nil {
		h.log("lease_end", "err", err)
	}
}

// createHostEntry writes the host's entry under a new lease. It returns the lease, or zero on failure, and the epoch in
// which the entry was written.
func (h *Host) createHostEntry(ctx context.Context, self membership.Host) (lease int64, epoch kv.Epoch) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := h.ports.Store.Grant(call, max(hostEntryTTL, h.settings.MinLeaseTTL))
	if err != nil {
		h.log("announce", "err", err)
		return 0, 0
	}
	at, err := h.writeHostEntry(call, self, lease)
	if err != nil {
		h.log("announce", "err", err)
		h.endStoreLease(lease)
		return 0, 0
	}
	return lease, at.Epoch()
}

// writeHostEntry writes the host's entry under a lease and returns the entry's revision. It fails if the stored entry has
// changed since the host last read it.
func (h *Host) writeHostEntry(ctx context.Context, self membership.Host, lease int64) (kv.Revision, error) {
	key := h.hostsPrefix() + self.ID
	h.mu.Lock()
	known, _ := h.storeView.Item(key)
	h.mu.Unlock()
	return h.ports.Store.Commit(ctx, kv.Replace(key, known.Revision, fleet.FormatEntry(self), lease))
}
