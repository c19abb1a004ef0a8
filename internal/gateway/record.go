package gateway

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/internal/recordcodec"
)

func (h *Host) recordsPrefix() string { return h.ports.Keys.OwnPrefix + "leadership/" }

func (h *Host) recordKey(group string) string { return h.recordsPrefix() + group }

// keepFormerRecords keeps the newest version of records that the store has lost or reverted to an older version, so that
// this host can use them if it acquires the role. h.mu must be held.
func (h *Host) keepFormerRecords(former []kv.Item) {
	for _, i := range former {
		name, ok := strings.CutPrefix(i.Key, h.recordsPrefix())
		if !ok {
			continue
		}
		f, err := recordcodec.DecodeItem(i)
		if err != nil {
			h.log("record_unreadable", "group", name, "revision", i.Revision, "err", err)
			continue
		}
		if f.Revision > h.formerRecords[name].Revision {
			h.formerRecords[name] = f
		}
	}
}

// newestKnownRecord returns the newest record that this host has kept from before the store was last restored, or has
// written itself.
func (d *coordinator) newestKnownRecord() leadership.StoredRecord {
	d.host.mu.Lock()
	newest := d.host.formerRecords[d.group.name]
	d.host.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.record.Revision > newest.Revision {
		return d.record
	}
	return newest
}

// inheritance is what a coordinator takes over from the previous one.
type inheritance struct {
	// found is the newest known record of the previous coordinator.
	found leadership.StoredRecord
	// certain is true if no other host can have held the role since the record was written.
	certain bool
	// formerGranters are the hosts that may still consider themselves the granter of the group's quotas.
	formerGranters []string
	// record replaces the stored record, so that later writes of the previous coordinator fail.
	record leadership.Record
}

// newInheritance evaluates the stored record that was read in the epoch.
func (d *coordinator) newInheritance(item kv.Item, epoch kv.Epoch) inheritance {
	stored, err := recordcodec.DecodeItem(item)
	if err != nil {
		d.log("record_unreadable", "revision", item.Revision, "err", err)
	}
	found, certain := leadership.Inherit(stored, d.newestKnownRecord(), epoch)
	i := inheritance{found: found, certain: certain && err == nil, formerGranters: found.QuotaGranters, record: found.Record}
	if !i.certain {
		// The store may have lost the entry of a later coordinator, which may have been any host.
		i.formerGranters = leadership.Union(i.formerGranters, d.host.fleet.ListedIDs()...)
		i.record.PortionHolders, i.record.ReserveHolders = leadership.Union(i.record.PortionHolders, i.formerGranters...), nil
	}
	i.record.Holder, i.record.HandedBack, i.record.Epoch = d.host.settings.Host, false, epoch
	i.record.QuotaGranters = leadership.Union(i.formerGranters, d.host.settings.Host)
	return i
}

// inheritRecord reads the previous coordinator's record, rewrites it with this host as the holder and adopts it.
func (d *coordinator) inheritRecord(ctx context.Context) error {
	item, err := d.host.readKey(ctx, d.host.recordKey(d.group.name))
	if err != nil {
		return err
	}
	i := d.newInheritance(item, d.acquiredEpoch())
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.writeRecord(call, i.record, item.Revision, kv.Transaction{}); err != nil {
		return err
	}
	d.adoptRecord(i)
	return nil
}

// adoptRecord takes over the previous coordinator's record, once it has been rewritten with this host as the holder.
func (d *coordinator) adoptRecord(i inheritance) {
	r, found := i.record, i.found
	// The floor is the position that the log of a successor of the primary must have reached.
	d.group.inheritFloor(r, found.Revision)
	d.group.noteTerm(r.Term)
	d.startQuotaGranting(r, i.formerGranters)
	d.mu.Lock()
	if !d.recordInherited { // afterwards this host knows the pending promotion better than the store
		d.recordInherited, d.predecessor.RecordCertain = true, i.certain
		d.predecessor.HandedBack = i.certain && (found.HandedBack || found.Holder == "")
		if i.certain && found.Holder == "" && !d.predecessor.SameHost {
			// A coordinator requests no promotion before it has written a record.
			d.exemptToken = d.token
		}
		d.predecessor.SameHost = d.predecessor.SameHost && i.certain && found.Holder == d.host.settings.Host
		d.pendingMember, d.pendingToken, d.pendingAt = found.PendingPromotion, 0, d.host.now()
	}
	d.mu.Unlock()
	d.log("record_inherited", "before", found.Holder, "term", r.Term, "floor", r.Floor, "ordered", found.PendingPromotion, "written", found.Revision, "certain", i.certain)
}

// saveRecord writes the record over the one of r.Revision, from which it was derived. It returns errRecordChanged if another
// one was written meanwhile. After any other error it is unknown whether the record was written, so that it must be read and
// inherited again.
func (d *coordinator) saveRecord(ctx context.Context, r leadership.StoredRecord) error {
	return d.saveRecordWith(ctx, r, kv.Transaction{})
}

// saveRecordWith is like saveRecord, but commits further changes in the same transaction.
func (d *coordinator) saveRecordWith(ctx context.Context, r leadership.StoredRecord, extra kv.Transaction) error {
	return d.changeRecord(ctx, r.Revision, func(last *leadership.Record) {
		r.PortionHolders, r.ReserveHolders = last.PortionHolders, last.ReserveHolders
		*last = r.Record
	}, extra)
}

// changeRecord writes the record after a change to what was last written, at revision from unless that is zero. It fails
// rather than replace a record that another goroutine has written since then.
func (d *coordinator) changeRecord(ctx context.Context, from kv.Revision, change func(*leadership.Record), extra kv.Transaction) error {
	d.mu.Lock()
	revision, last := d.recordRevision, d.record.Record
	d.mu.Unlock()
	if from != 0 && from != revision || last.HandedBack {
		return errRecordChanged
	}
	call, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	r := last
	change(&r)
	r.Holder = d.host.settings.Host
	if r.QuotaGranters = d.quotaGranters(last); r.HandedBack {
		r.QuotaGranters = leadership.Without(r.QuotaGranters, r.Holder)
	}
	err := d.writeRecord(call, r, revision, extra)
	if err != nil {
		d.mu.Lock()
		d.recordRevision = 0
		d.mu.Unlock()
	}
	return errors.Wrap(err, "write leadership record")
}

// writeRecord writes the record over the one of the given revision. Unlike saveRecord it does not fill in the holder, the
// grantees and the granters.
func (d *coordinator) writeRecord(ctx context.Context, r leadership.Record, revision kv.Revision, extra kv.Transaction) error {
	r.Epoch = d.acquiredEpoch()
	value, err := recordcodec.Encode(r)
	if err != nil {
		return err
	}
	written, err := d.commitInEpoch(ctx, r.Epoch, kv.Replace(d.host.recordKey(d.group.name), revision, value, 0).Merge(extra))
	if err != nil {
		return err
	}
	d.noteRecordWritten(r, written)
	return nil
}

// noteRecordWritten notes the record that is now stored for the next coordinator.
func (d *coordinator) noteRecordWritten(r leadership.Record, written kv.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record, d.recordRevision = leadership.StoredRecord{Record: r, Revision: written}, written
}

// knowsPromotions reports whether this host knows all recorded promotion requests of earlier coordinators.
func (d *coordinator) knowsPromotions() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordInherited
}

// currentRecord returns the record as this host last wrote it. It returns false if the store may hold another one, or if
// the record hands the role back: this host must not replace it then.
func (d *coordinator) currentRecord() (leadership.StoredRecord, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record, d.recordRevision != 0 && !d.record.HandedBack
}

// maxHandBackAttempts bounds the attempts to write the last record of a role, which other goroutines may update meanwhile.
const maxHandBackAttempts = 3

// handBack removes the role's entry, so that another host need not wait for it to expire. If the leases of this and
// earlier coordinators have ended and no promotion is pending, it also records that the role was handed back.
func (w *groupMonitor) handBack(leasesEnded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.mu.Lock()
	token, held := w.token, w.held
	w.mu.Unlock()
	if !held {
		return
	}
	removal := kv.Remove(w.host.coordinatorKey(w.group.name), token)
	for range maxHandBackAttempts {
		r, ok := w.currentRecord()
		if !ok || !leasesEnded || w.pendingPromotion() != "" {
			break
		}
		r.HandedBack = true
		err := w.saveRecordWith(ctx, r, removal)
		if err == nil {
			return
		}
		w.log("record_not_written", "err", err)
		if !errors.Is(err, errRecordChanged) {
			break
		}
	}
	if _, err := w.commitInEpoch(ctx, token.Epoch(), removal); err != nil {
		w.log("duty_not_handed_back", "err", err)
	}
}

// updateRecord rewrites the record when the requirements for a successor of the primary have changed, or a recorded
// promotion is no longer pending. It does nothing while the stored record or the requirements are not known.
func (w *groupMonitor) updateRecord(ctx context.Context) {
	old, ok := w.currentRecord()
	if !ok || !w.mayPromote() {
		return
	}
	r, known := w.group.successorRequirements()
	r.QuotaGranters = w.quotaGranters(old.Record)
	if !known || old.PendingPromotion == "" && old.Term == r.Term && old.SameMembers(r.Members) && len(r.QuotaGranters) == len(old.QuotaGranters) {
		return
	}
	if err := w.saveRecord(ctx, leadership.StoredRecord{Record: r, Revision: old.Revision}); err != nil {
		w.log("record_not_written", "err", err)
	}
}

// recordPromotion records that a promotion is about to be requested. Otherwise the next coordinator would rely on the old
// primary although a delayed promotion may still replace it.
func (w *groupMonitor) recordPromotion(ctx context.Context, id string) error {
	r, ok := w.currentRecord()
	if !ok {
		return errRecordUnknown
	}
	if r.PendingPromotion == id {
		return nil
	}
	r.PendingPromotion, r.Term = id, max(r.Term, w.group.highestSeenTerm())
	if err := w.saveRecord(ctx, r); !errors.Is(err, errRecordChanged) {
		return err
	}
	return w.recordPromotion(ctx, id)
}

// errRecordChanged means that this host has written the record since it was read.
var errRecordChanged = errors.New("the leadership record has changed")

// errRecordUnknown means that it is not known what record the store holds: that of the previous coordinator was not
// inherited yet, or a write had an unknown outcome.
var errRecordUnknown = errors.New("the stored leadership record is not known")
