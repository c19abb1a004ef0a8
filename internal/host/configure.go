package host

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/core/membership"
	"pearlatch/io/etcd"
	"pearlatch/io/peer"
)

const (
	// maxStoreReaders is how many hosts watch the platform's store. The others
	// learn of changes from other hosts.
	maxStoreReaders = 2
	// storeReadersKey is the key by which hosts are ranked to choose the store
	// readers.
	storeReadersKey = "/readers"
	// hostListInterval is how often a store reader fetches the platform's host list.
	hostListInterval = time.Second
	// configCheckInterval is how often every other host checks the store's
	// revision of the configuration, in case the store readers are cut off from
	// the platform.
	configCheckInterval = 10 * time.Second
	// pushFanout is how many hosts a host probes at once to spread a new revision
	// or a membership change.
	pushFanout = 3
	// maxDeltaBases is how many earlier revisions a host keeps to encode deltas
	// against.
	maxDeltaBases = 4
	// storeRetryInterval is how often a host without a configuration, or without
	// peers, asks the platform itself.
	storeRetryInterval = 500 * time.Millisecond
	// pullTimeout bounds a call to another host for the configuration.
	pullTimeout = 2 * time.Second
)

// configuration holds the newest revision received and the one in force. The
// zero value has neither. It may be used from several goroutines.
type configuration struct {
	mu sync.Mutex
	// newest is the revision sent to other hosts. Its number only rises and is
	// never below the number of the revision in force.
	newest config.Revision
	// current is the revision in force and doc its document. Its number only
	// rises.
	current   config.Revision
	doc       *config.Document
	appliedAt time.Time
	pulling   bool
	// earlier holds the revisions received before newest, newest first.
	earlier []config.Revision
	// deltas holds encoded deltas to newest by the number of their base.
	deltas map[uint64][]byte
}

// newestRevision returns the newest revision received.
func (c *configuration) newestRevision() config.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// newestNumber returns the number of the newest revision received.
func (c *configuration) newestNumber() uint64 { return c.newestRevision().Number }

// inForce returns the revision in force.
func (c *configuration) inForce() config.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *configuration) document() *config.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doc
}

func (c *configuration) inForceNumber() uint64 { return c.inForce().Number }

// receive stores r if it is newer than every revision received before, and
// reports whether it is.
func (c *configuration) receive(r config.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Number <= c.newest.Number {
		return false
	}
	if c.newest.Number > 0 {
		c.earlier = append([]config.Revision{c.newest}, c.earlier[:min(len(c.earlier), maxDeltaBases-1)]...)
	}
	c.newest, c.deltas = r, map[uint64][]byte{}
	return true
}

// apply puts r in force if its number is higher than the current one, and
// reports whether it did. The error says that the document is invalid.
func (c *configuration) apply(r config.Revision) (bool, error) {
	if r.Number <= c.inForceNumber() {
		return false, nil
	}
	doc, err := config.Parse(r.Text)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Number <= c.current.Number {
		return false, nil
	}
	c.current, c.doc, c.appliedAt = r, doc, time.Now()
	return true, nil
}

// pullResponse returns what a host needs that has revision have. It is empty if
// the host needs nothing.
func (c *configuration) pullResponse(have uint64) *peer.Pulled {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest.Number <= have {
		return &peer.Pulled{}
	}
	base, delta, err := c.delta(have)
	if err != nil {
		return &peer.Pulled{}
	}
	return &peer.Pulled{Revision: c.newest.Number, Base: base, Delta: delta}
}

// delta returns the encoded difference between revision have and the newest one,
// or the whole document with base zero if revision have is not kept. c.mu must be
// held.
func (c *configuration) delta(have uint64) (base uint64, delta []byte, err error) {
	if kept, ok := c.deltas[have]; ok {
		return have, kept, nil
	}
	for _, e := range c.earlier {
		if e.Number == have {
			if delta, err = etcd.EncodeDelta(e, c.newest); err != nil {
				return 0, nil, err
			}
			c.deltas[have] = delta
			return have, delta, nil
		}
	}
	delta, err = etcd.EncodeRevision(c.newest)
	return 0, delta, err
}

// adoptRevision sends a revision to other hosts, puts it in force and updates the
// owners. It sends the revision before parsing it: the document was checked when
// it was accepted, and parsing a megabyte at every hop would take most of the time
// that a revision needs to spread.
func (h *Host) adoptRevision(r config.Revision, from string) {
	if h.conf.receive(r) {
		for _, other := range h.randomNeighbours(pushFanout) {
			h.background.Go(func() { _ = h.probeOnce(context.Background(), other) })
		}
	}
	applied, err := h.conf.apply(r)
	if err != nil {
		_ = level.Error(h.logger).Log("step", "apply_configuration", "peer", from, "revision", r.Number, "err", err)
		return
	}
	if applied {
		_ = level.Info(h.logger).Log("step", "apply_configuration", "peer", from, "revision", r.Number)
		h.wakeReconcile()
	}
}

// configureLoop keeps the configuration and the host list up to date until ctx
// ends.
func (h *Host) configureLoop(ctx context.Context) {
	checked := time.Now()
	for ctx.Err() == nil {
		reader := h.isStoreReader()
		if reader || h.conf.document() == nil {
			h.fetchHosts(ctx)
			h.fetchConfig(ctx)
		}
		if h.conf.document() == nil {
			h.probeSeeds(ctx)
		}
		wait := storeRetryInterval
		if h.conf.document() != nil {
			wait = hostListInterval
		}
		switch {
		case reader && h.conf.document() != nil:
			h.watchConfig(ctx, wait)
		case time.Since(checked) >= configCheckInterval:
			checked = time.Now()
			h.checkConfig(ctx)
		default:
			sleep(ctx, wait)
		}
	}
}

// checkConfig fetches the configuration if its revision in the store has changed
// since the last check.
func (h *Host) checkConfig(ctx context.Context) {
	revision, err := h.store.Revision(ctx, etcd.ConfigKey)
	if err != nil || revision == h.lastStoreRevision.Swap(revision) {
		return
	}
	h.fetchConfig(ctx)
}

// probeSeeds probes the seeds of the settings until one answers. The answer lists
// the other hosts and the revision in force.
func (h *Host) probeSeeds(ctx context.Context) {
	for _, seed := range h.settings.Seeds {
		if seed == h.settings.Peers {
			continue
		}
		if err := h.probeOnce(ctx, membership.Host{Peer: seed}); err == nil {
			h.membershipKnown.Store(true)
			h.wakeReconcile()
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// isStoreReader reports whether this host is one of the hosts that watch the
// platform's store.
func (h *Host) isStoreReader() bool {
	if h.allStoreReaders {
		return true
	}
	for i, other := range h.ranked(storeReadersKey) {
		if i >= maxStoreReaders {
			return false
		}
		if other.ID == h.settings.Host {
			return true
		}
	}
	return false
}

func (h *Host) fetchHosts(ctx context.Context) {
	hosts, err := h.store.Hosts(ctx)
	if err != nil {
		_ = level.Warn(h.logger).Log("step", "fetch_hosts", "peer", "platform", "err", err)
		return
	}
	h.table.MergeHostList(hosts, time.Now())
	if !h.membershipKnown.Load() {
		h.announce(ctx)
		h.membershipKnown.Store(true)
		h.wakeReconcile()
	}
}

func (h *Host) fetchConfig(ctx context.Context) {
	entry, err := h.store.Get(ctx, etcd.ConfigKey)
	if err != nil {
		_ = level.Warn(h.logger).Log("step", "fetch_configuration", "peer", "platform", "err", err)
		return
	}
	h.syncEntry(ctx, entry)
}

// syncEntry adopts the revision of a store entry, or writes the newest one back if
// the store holds an older one.
func (h *Host) syncEntry(ctx context.Context, entry etcd.Entry) {
	if stored, ok := h.adoptEntry(entry); ok {
		h.writeBack(ctx, entry, stored)
	}
}

// adoptEntry adopts the revision of a store entry. It returns false if the entry
// holds no readable revision.
func (h *Host) adoptEntry(entry etcd.Entry) (config.Revision, bool) {
	if entry.Revision == 0 {
		return config.Revision{}, false
	}
	r, err := etcd.DecodeRevision(entry.Value)
	if err != nil {
		_ = level.Error(h.logger).Log("step", "fetch_configuration", "peer", "platform", "err", err)
		return config.Revision{}, false
	}
	h.adoptRevision(r, "platform")
	return r, true
}

// writeBack writes the newest revision received into the store if the store holds
// an older one. Such a store was restored from a backup, and would refuse
// documents that operators submit on top of the revision in force.
func (h *Host) writeBack(ctx context.Context, entry etcd.Entry, stored config.Revision) {
	newest := h.conf.newestRevision()
	if stored.Number >= newest.Number {
		return
	}
	err := etcd.WriteBack(ctx, h.store, entry, newest)
	_ = level.Warn(h.logger).Log("step", "write_configuration_back", "peer", "platform", "stored", stored.Number, "revision", newest.Number, "err", err)
}

// watchConfig watches the configuration in the store for the given time.
func (h *Host) watchConfig(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	entry, err := h.store.Get(ctx, etcd.ConfigKey)
	if err == nil {
		h.syncEntry(ctx, entry)
		err = h.store.Watch(ctx, etcd.ConfigKey, entry.Revision, func(changed etcd.Entry) { h.adoptEntry(changed) })
	}
	if err != nil && ctx.Err() == nil {
		sleep(ctx, storeRetryInterval)
	}
}

// startPull requests the configuration of another host in the background, unless
// such a request is running.
func (h *Host) startPull(other membership.Host) {
	h.conf.mu.Lock()
	running := h.conf.pulling
	h.conf.pulling = true
	h.conf.mu.Unlock()
	if running {
		return
	}
	h.background.Go(func() {
		h.pull(other)
		h.conf.mu.Lock()
		h.conf.pulling = false
		h.conf.mu.Unlock()
	})
}

func (h *Host) pull(other membership.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	got, err := h.client.Pull(ctx, other.Peer, &peer.Pull{Have: h.conf.newestNumber()})
	if err != nil || got.Revision == 0 {
		return
	}
	r, err := h.decodePulled(got)
	if err != nil {
		_ = level.Error(h.logger).Log("step", "pull_configuration", "peer", other.ID, "err", err)
		return
	}
	h.adoptRevision(r, other.ID)
}

// decodePulled decodes a pulled revision. A delta must be based on the newest
// revision received.
func (h *Host) decodePulled(got *peer.Pulled) (config.Revision, error) {
	if got.Base == 0 {
		return etcd.DecodeRevision(got.Delta)
	}
	base := h.conf.newestRevision()
	if base.Number != got.Base {
		return config.Revision{}, errors.Errorf("the delta is based on revision %d", got.Base)
	}
	return etcd.DecodeDelta(base, got.Delta)
}
