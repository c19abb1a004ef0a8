package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/internal/recordcodec"
)

// acquisition is an attempt to acquire a coordinator role.
type acquisition struct {
	coordinator *coordinator
	// entryRevision is the revision of an existing entry of this host, or zero if there is none.
	entryRevision kv.Revision
	// inherited is what is taken over from the previous coordinator's record. It is nil if the transaction does not
	// rewrite the record.
	inherited   *inheritance
	transaction kv.Transaction
}

// acquireCoordinators acquires roles that an earlier process of this host held, and vacant ones, up to acquireBatchSize in
// one call to the store and up to acquireBatchSize calls at once. Only vacant roles are claimed by several hosts. They
// are in batches of their own, so that their conflicts do not delay the others.
func (h *Host) acquireCoordinators(ctx context.Context, reclaimed, vacant []*coordinator) {
	if len(reclaimed)+len(vacant) == 0 {
		return
	}
	lease, renewed, err := h.coordinatorLease.ensure(ctx)
	if err != nil {
		for _, d := range slices.Concat(reclaimed, vacant) {
			d.acquireFailed(err, false)
		}
		return
	}
	batches := slices.Collect(slices.Chunk(reclaimed, acquireBatchSize))
	batches = slices.AppendSeq(batches, slices.Chunk(vacant, acquireBatchSize))
	forEach(batches, func(batch []*coordinator) { h.acquireBatch(ctx, batch, lease, renewed) })
}

// forEach calls f for all items, for up to acquireBatchSize at once.
func forEach[T any](items []T, f func(T)) {
	for some := range slices.Chunk(items, acquireBatchSize) {
		var wait sync.WaitGroup
		for _, i := range some {
			wait.Go(func() { f(i) })
		}
		wait.Wait()
	}
}

// acquireBatch acquires roles with one call to the store. If that conflicts, it acquires each role by itself, so that one
// that is already taken does not delay the others. A conflict over a role of an earlier process of this host shows that
// the view of the record is old, since no other host claims the role: it is acquired without the record at once.
func (h *Host) acquireBatch(ctx context.Context, due []*coordinator, lease int64, renewed time.Time) {
	var merged kv.Transaction
	var acquisitions []acquisition
	for _, d := range due {
		a := d.prepareAcquisition(lease)
		acquisitions = append(acquisitions, a)
		merged = merged.Merge(a.transaction)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := h.ports.Store.Commit(call, merged)
	switch {
	case err == nil:
		forEach(acquisitions, func(a acquisition) { a.coordinator.completeAcquisition(ctx, a, revision, lease, renewed) })
		return
	case errors.Is(err, ErrConflict) && len(due) > 1:
		forEach(due, func(d *coordinator) { h.acquireBatch(ctx, []*coordinator{d}, lease, renewed) })
		return
	case errors.Is(err, ErrConflict) && acquisitions[0].entryRevision != 0 && !due[0].recordSeparately:
		due[0].recordSeparately = true
		h.acquireBatch(ctx, due, lease, renewed)
		return
	case errors.Is(err, ErrNoLease):
		h.coordinatorLease.forget(lease)
	}
	for _, d := range due {
		d.acquireFailed(err, true)
	}
}

// prepareAcquisition returns the transaction that acquires the role. The transaction also rewrites the record, based on
// this host's view of the stored one. If that view is stale, the commit fails, and the next attempt writes the record
// separately.
func (d *coordinator) prepareAcquisition(lease int64) acquisition {
	h := d.host
	h.mu.Lock()
	entry, _ := h.storeView.Item(h.coordinatorKey(d.group.name))
	stored, _ := h.storeView.Item(h.recordKey(d.group.name))
	epoch := h.storeView.Revision().Epoch()
	h.mu.Unlock()
	a := acquisition{coordinator: d}
	if string(entry.Value) == h.settings.Host {
		a.entryRevision = entry.Revision
	}
	a.transaction = kv.Replace(h.coordinatorKey(d.group.name), a.entryRevision, []byte(h.settings.Host), lease)
	if d.recordSeparately {
		return a
	}
	i := d.newInheritance(stored, epoch)
	value, err := recordcodec.Encode(i.record)
	if err != nil {
		d.log("record_not_written", "err", err)
		return a
	}
	a.inherited = &i
	a.transaction = a.transaction.Merge(kv.Replace(h.recordKey(d.group.name), stored.Revision, value, 0))
	return a
}

// completeAcquisition records that the role was acquired at the revision, and takes over the previous coordinator's record.
func (d *coordinator) completeAcquisition(ctx context.Context, a acquisition, revision kv.Revision, lease int64, renewed time.Time) {
	d.mu.Lock()
	d.held, d.leaseID, d.token, d.renewedAt, d.renewalsUnbroken = true, lease, revision, renewed, true
	d.predecessor = leadership.Predecessor{
		SameHost: a.entryRevision != 0 && !d.writeUncertain, ProcessStarted: d.host.started, AcquiredAt: d.host.now(),
	}
	d.writeUncertain, d.exemptToken = false, 0
	d.recordInherited, d.pendingMember, d.recordRevision, d.primaryStatus, d.grants, d.resigning = false, "", 0, primaryStatus{}, leadership.Grants{}, false
	d.mu.Unlock()
	d.claims.Reset()
	d.recordSeparately = false
	d.log("duty_taken", "token", int64(revision))
	d.group.clearAllReplacements()
	if a.inherited != nil && a.inherited.record.Epoch == revision.Epoch() {
		d.noteRecordWritten(a.inherited.record, revision)
		d.adoptRecord(*a.inherited)
	} else {
		d.tryInheritRecord(ctx)
	}
	d.group.wakeCoordinator()
}
