package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

// acquisition is a duty that is about to be taken.
type acquisition struct {
	coordinator *coordinator
	// entryRevision is the revision of the entry before, or zero if there is none.
	entryRevision kv.Revision
	// record is what the record of the holder before says, and what this one leaves, if it is written along.
	record      *inheritedRecord
	transaction kv.Transaction
}

// acquireCoordinators takes duties, several with a call.
func (h *Host) acquireCoordinators(ctx context.Context, due []*coordinator) {
	for some := range slices.Chunk(due, acquireBatchSize) {
		h.acquireBatch(ctx, some)
	}
}

// acquireBatch takes duties with one call, or each by itself if not all of them are to be had.
func (h *Host) acquireBatch(ctx context.Context, due []*coordinator) {
	lease, renewed, err := h.coordinatorLease.ensure(ctx)
	if err != nil {
		for _, d := range due {
			d.acquireFailed(err, false)
		}
		return
	}
	var together kv.Transaction
	var takings []acquisition
	for _, d := range due {
		t := d.prepareAcquisition(lease)
		takings = append(takings, t)
		together = together.Merge(t.transaction)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := h.ports.Store.Commit(call, together)
	switch {
	case err == nil:
		for _, t := range takings {
			t.coordinator.completeAcquisition(ctx, t, revision, lease, renewed)
		}
		return
	case errors.Is(err, ErrConflict) && len(due) > 1:
		for _, d := range due {
			h.acquireBatch(ctx, []*coordinator{d})
		}
		return
	case errors.Is(err, ErrNoLease):
		h.coordinatorLease.forget(lease)
	}
	for _, d := range due {
		d.acquireFailed(err, true)
	}
}

// prepareAcquisition returns what takes the duty. The record is written along, from what this host knows of it: if it is another
// one by now, the call fails, and the next one leaves it out.
func (d *coordinator) prepareAcquisition(lease int64) acquisition {
	h := d.host
	h.mu.Lock()
	entry, _ := h.storeView.Item(h.coordinatorKey(d.group.name))
	read, _ := h.storeView.Item(h.recordKey(d.group.name))
	epoch := h.storeView.Revision().Epoch()
	h.mu.Unlock()
	t := acquisition{coordinator: d}
	if string(entry.Value) == h.settings.Host {
		t.entryRevision = entry.Revision
	}
	t.transaction = kv.Replace(h.coordinatorKey(d.group.name), t.entryRevision, []byte(h.settings.Host), lease)
	if d.recordSeparately {
		return t
	}
	i := d.newInheritedRecord(read, epoch)
	value, err := encodeRecord(i.record)
	if err != nil {
		d.log("record_not_written", "err", err)
		return t
	}
	t.record = &i
	t.transaction = t.transaction.Merge(kv.Replace(h.recordKey(d.group.name), read.Revision, value, 0))
	return t
}

// completeAcquisition records that the duty was taken.
func (d *coordinator) completeAcquisition(ctx context.Context, t acquisition, revision kv.Revision, lease int64, renewed time.Time) {
	d.mu.Lock()
	d.held, d.lease, d.token, d.acquiredAt, d.renewedAt, d.renewalsUnbroken = true, lease, revision, d.host.now(), renewed, true
	d.reclaimed, d.predecessorHandedBack, d.tokenRaisedAt = t.entryRevision != 0 && !d.writeUncertain, false, time.Time{}
	d.writeUncertain, d.firstToken = false, 0
	d.recordInherited, d.pendingMember, d.recordRevision, d.primaryStatus, d.grants, d.resigning = false, "", 0, primaryStatus{}, leadership.Grants{}, false
	d.mu.Unlock()
	d.vacantSince, d.acquireBackoff, d.recordSeparately = time.Time{}, 0, false
	d.log("duty_taken", "token", int64(revision))
	d.group.clearAllReplacements()
	if t.record != nil && t.record.record.Epoch == revision.Epoch() {
		d.noteRecordWritten(t.record.record, revision)
		d.adoptRecord(*t.record)
	} else {
		d.tryInheritRecord(ctx)
	}
	d.group.wakeCoordinator()
}
