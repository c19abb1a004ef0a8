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
	duty *coordinator
	// entry is the revision of the entry before, or zero if there is none.
	entry kv.Revision
	// record is what the record of the holder before says, and what this one leaves, if it is written along.
	record      *inheritedRecord
	transaction kv.Transaction
}

// take takes duties, several with a call.
func (h *Host) take(ctx context.Context, due []*coordinator) {
	for some := range slices.Chunk(due, acquireBatchSize) {
		h.takeTogether(ctx, some)
	}
}

// takeTogether takes duties with one call, or each by itself if not all of them are to be had.
func (h *Host) takeTogether(ctx context.Context, due []*coordinator) {
	lease, renewed, err := h.holding.get(ctx)
	if err != nil {
		for _, d := range due {
			d.notTaken(err, false)
		}
		return
	}
	var together kv.Transaction
	var takings []acquisition
	for _, d := range due {
		t := d.prepare(lease)
		takings = append(takings, t)
		together = together.And(t.transaction)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := h.ports.Store.Commit(call, together)
	switch {
	case err == nil:
		for _, t := range takings {
			t.duty.took(ctx, t, revision, lease, renewed)
		}
		return
	case errors.Is(err, ErrConflict) && len(due) > 1:
		for _, d := range due {
			h.takeTogether(ctx, []*coordinator{d})
		}
		return
	case errors.Is(err, ErrNoLease):
		h.holding.forget(lease)
	}
	for _, d := range due {
		d.notTaken(err, true)
	}
}

// prepare returns what takes the duty. The record is written along, from what this host knows of it: if it is another
// one by now, the call fails, and the next one leaves it out.
func (d *coordinator) prepare(lease int64) acquisition {
	h := d.host
	h.mu.Lock()
	entry, _ := h.known.Item(h.dutyKey(d.group.name))
	read, _ := h.known.Item(h.recordKey(d.group.name))
	epoch := h.known.Revision().Epoch()
	h.mu.Unlock()
	t := acquisition{duty: d}
	if string(entry.Value) == h.settings.Host {
		t.entry = entry.Revision
	}
	t.transaction = kv.Replace(h.dutyKey(d.group.name), t.entry, []byte(h.settings.Host), lease)
	if d.apart {
		return t
	}
	i := d.inheritance(read, epoch)
	value, err := encodeRecord(i.record)
	if err != nil {
		d.log("record_not_written", "err", err)
		return t
	}
	t.record = &i
	t.transaction = t.transaction.And(kv.Replace(h.recordKey(d.group.name), read.Revision, value, 0))
	return t
}

// took records that the duty was taken.
func (d *coordinator) took(ctx context.Context, t acquisition, revision kv.Revision, lease int64, renewed time.Time) {
	d.mu.Lock()
	d.held, d.lease, d.token, d.since, d.renewed, d.unbroken = true, lease, revision, d.host.now(), renewed, true
	d.reclaimed, d.handedBack, d.raisedAt = t.entry != 0 && !d.unsure, false, time.Time{}
	d.unsure, d.first = false, 0
	d.inherited, d.ordered, d.recordRevision, d.standing, d.grants, d.resigned = false, "", 0, primaryStatus{}, leadership.Grants{}, false
	d.mu.Unlock()
	d.vacant, d.takePause, d.apart = time.Time{}, 0, false
	d.log("duty_taken", "token", int64(revision))
	d.group.resumeAll()
	if t.record != nil && t.record.record.Epoch == revision.Epoch() {
		d.wrote(t.record.record, revision)
		d.adopt(*t.record)
	} else {
		d.tryInherit(ctx)
	}
	d.group.wakeHolder()
}
