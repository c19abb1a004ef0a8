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
	// hostEntryTTL is the life of a host's entry: the lease outlives a pause of the
	// store, and a dead host's share is given to others after it. Until then others find out by
	// themselves that it does not answer.
	hostEntryTTL = 16 * time.Second
	// hostEntryRenewInterval is the pause between renewals: two may get lost. Renewals are most of what a
	// fleet asks of the store while nothing happens.
	hostEntryRenewInterval = 5 * time.Second
	// storeTimeout bounds calls about leases.
	storeTimeout = time.Second
)

// maintainHostEntry keeps the host's entry in the store until the host is told to stop: others
// then turn elsewhere, and what is open here can end.
func (h *Host) maintainHostEntry(ctx context.Context) {
	ctx, cancel := contextUntil(ctx, h.stopped)
	defer cancel()
	select {
	case <-h.storeRead: // an entry of an earlier process is known, and the store answers
	case <-ctx.Done():
	}
	var lease int64
	var written kv.Epoch
	for ctx.Err() == nil {
		if lease == 0 {
			lease, written = h.createHostEntry(ctx, h.self())
		} else if epoch, err := h.renewStoreLease(ctx, lease); errors.Is(err, ErrNoLease) || err == nil && epoch != written {
			// A store that came back from an older copy may hold the lease and not the entry.
			lease = 0
			continue
		}
		next := hostEntryRenewInterval
		if lease == 0 {
			next = follow.SourcePauseMax
		}
		if !pause.For(ctx, next) {
			break
		}
	}
	h.announceLeaving(lease)
}

// self describes this host to others.
func (h *Host) self() membership.Host { return h.fleet.Self() }

// announceLeaving tells other hosts that this one stops. The entry is left to lapse: if it were
// removed at once, hosts that read the list only then would take this one for a host
// whose entry has lapsed, and that may serve still.
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

// readKey reads a key of the store. One that does not exist has the revision zero.
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

func (h *Host) renewStoreLease(ctx context.Context, lease int64) (kv.Epoch, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.ports.Store.Renew(call, lease)
}

// endStoreLease gives a lease back at the end, so that others need not wait for it.
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

// createHostEntry writes the host's entry under a new lease and returns that, or zero, and the epoch in which the entry stands.
func (h *Host) createHostEntry(ctx context.Context, self membership.Host) (lease int64, written kv.Epoch) {
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

// writeHostEntry writes the host's entry and returns its revision.
func (h *Host) writeHostEntry(ctx context.Context, self membership.Host, lease int64) (kv.Revision, error) {
	key := h.hostsPrefix() + self.ID
	h.mu.Lock()
	known, _ := h.storeView.Item(key)
	h.mu.Unlock()
	return h.ports.Store.Commit(ctx, kv.Replace(key, known.Revision, fleet.Entry(self), lease))
}
