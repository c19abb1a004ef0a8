package gateway

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

func (h *Host) recordsPrefix() string { return h.ports.Keys.OwnPrefix + "leadership/" }

func (h *Host) recordKey(group string) string { return h.recordsPrefix() + group }

// keepFormerRecords keeps the records that the store has lost, or holds in an older form, for those who take a duty now. h.mu
// is held.
func (h *Host) keepFormerRecords(former []kv.Item) {
	for _, i := range former {
		name, ok := strings.CutPrefix(i.Key, h.recordsPrefix())
		if !ok {
			continue
		}
		r, err := decodeRecord(i.Value)
		if err != nil {
			h.log("record_unreadable", "group", name, "revision", i.Revision, "err", err)
			continue
		}
		if f := leadership.NewStoredRecord(r, i.Revision); f.Revision > h.formerRecords[name].Revision {
			h.formerRecords[name] = f
		}
	}
}

// newestKnownRecord returns the newest record that this host knows from before the store last came back.
func (d *coordinator) newestKnownRecord() leadership.StoredRecord {
	d.host.mu.Lock()
	out := d.host.formerRecords[d.group.name]
	d.host.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.record.Revision > out.Revision {
		return d.record
	}
	return out
}

// parseStoredRecord returns the record that was read, or false if there is one that can't be read.
func (d *coordinator) parseStoredRecord(read kv.Item) (leadership.StoredRecord, bool) {
	if len(read.Value) == 0 {
		return leadership.StoredRecord{}, true
	}
	r, err := decodeRecord(read.Value)
	if err != nil {
		d.log("record_unreadable", "revision", read.Revision, "err", err)
		return leadership.StoredRecord{}, false
	}
	return leadership.NewStoredRecord(r, read.Revision), true
}

// inheritedRecord is what a holder takes over of the one before.
type inheritedRecord struct {
	found leadership.StoredRecord
	// certain is true if no other host can have held the duty since the record was written.
	certain bool
	// formerGranters are the hosts that may take themselves for the granter of the group's accounts.
	formerGranters []string
	// record is what this holder writes in its place, so that what the one before still writes fails.
	record leadership.Record
}

// newInheritedRecord returns what the record says that was read in the epoch.
func (d *coordinator) newInheritedRecord(read kv.Item, epoch kv.Epoch) inheritedRecord {
	stored, readable := d.parseStoredRecord(read)
	found, certain := leadership.Inherit(stored, d.newestKnownRecord(), epoch)
	i := inheritedRecord{found: found, certain: certain && readable, formerGranters: found.Granters, record: found.Record}
	if !i.certain {
		// A holder that the store has forgotten may be any host.
		i.formerGranters = leadership.Union(i.formerGranters, d.host.fleet.ListedIDs()...)
		i.record.Grantees = leadership.Union(i.record.Grantees, i.formerGranters...)
	}
	i.record.Holder, i.record.HandedBack, i.record.Epoch = d.host.settings.Host, false, epoch
	i.record.Granters = leadership.Union(i.formerGranters, d.host.settings.Host)
	return i
}

// inheritRecord reads the record of the holder before, and writes it anew under this one's name.
func (d *coordinator) inheritRecord(ctx context.Context) error {
	read, err := d.host.readKey(ctx, d.host.recordKey(d.group.name))
	if err != nil {
		return err
	}
	i := d.newInheritedRecord(read, d.acquiredEpoch())
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.writeRecord(call, i.record, read.Revision, kv.Transaction{}); err != nil {
		return err
	}
	d.adoptRecord(i)
	return nil
}

// adoptRecord takes over what the holder before has left, once it is written under this one's name.
func (d *coordinator) adoptRecord(i inheritedRecord) {
	r, found := i.record, i.found
	d.group.inheritFloor(r, found.Revision)
	d.group.noteTerm(r.Term)
	d.startQuotaGranting(r.Grantees, i.formerGranters)
	d.mu.Lock()
	if !d.recordInherited { // later, this holder knows best which order it gave
		d.recordInherited, d.predecessorHandedBack = true, i.certain && (found.HandedBack || found.Holder == "")
		if i.certain && found.Holder == "" && !d.reclaimed {
			// A holder orders nothing before it has left a record.
			d.firstToken = d.token
		}
		d.reclaimed = d.reclaimed && i.certain && found.Holder == d.host.settings.Host
		d.pendingMember, d.pendingToken, d.pendingAt = found.PendingPromotion, 0, d.host.now()
	}
	d.mu.Unlock()
	d.log("record_inherited", "before", found.Holder, "term", r.Term, "floor", r.Floor, "ordered", found.PendingPromotion, "written", found.Revision, "certain", i.certain)
}

// saveRecord writes the record. After an error nobody knows whether it was written, and it must
// be inherited again.
func (d *coordinator) saveRecord(ctx context.Context, r leadership.Record) error {
	return d.saveRecordWith(ctx, r, kv.Transaction{})
}

// saveRecordWith is saveRecord with further changes that are carried out along with it.
func (d *coordinator) saveRecordWith(ctx context.Context, r leadership.Record, along kv.Transaction) error {
	d.mu.Lock()
	revision, last := d.recordRevision, d.record.Record
	d.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	r.Holder = d.host.settings.Host
	if r.Grantees == nil {
		r.Grantees = last.Grantees
	}
	if r.Granters = d.quotaGranters(last); r.HandedBack {
		r.Granters = withoutID(r.Granters, r.Holder)
	}
	err := d.writeRecord(call, r, revision, along)
	if err != nil {
		d.mu.Lock()
		d.recordRevision = 0
		d.mu.Unlock()
	}
	return errors.Wrap(err, "record of the leadership")
}

func (d *coordinator) writeRecord(ctx context.Context, r leadership.Record, revision kv.Revision, along kv.Transaction) error {
	r.Epoch = d.acquiredEpoch()
	value, err := encodeRecord(r)
	if err != nil {
		return err
	}
	written, err := d.commitInEpoch(ctx, r.Epoch, kv.Replace(d.host.recordKey(d.group.name), revision, value, 0).Merge(along))
	if err != nil {
		return err
	}
	d.noteRecordWritten(r, written)
	return nil
}

// noteRecordWritten records what stands in the store for the next holder.
func (d *coordinator) noteRecordWritten(r leadership.Record, written kv.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record, d.recordRevision = leadership.StoredRecord{Record: r, Revision: written}, written
}

// knowsPromotions reports whether this host knows of all recorded orders of earlier holders.
func (d *coordinator) knowsPromotions() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordInherited
}

// currentRecord returns the record as this host wrote it, or false if that is not certain.
func (d *coordinator) currentRecord() (leadership.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record.Record, d.recordRevision != 0
}

// handBack removes the duty's entry, so that another host need not wait for it, and writes down that this holder gives
// no more orders.
func (w *groupMonitor) handBack() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.mu.Lock()
	token, held := w.token, w.held
	w.mu.Unlock()
	if !held {
		return
	}
	gone := kv.Remove(w.host.coordinatorKey(w.group.name), token)
	if r, ok := w.currentRecord(); ok && w.pendingPromotion() == "" {
		r.HandedBack = true
		err := w.saveRecordWith(ctx, r, gone)
		if err == nil {
			return
		}
		w.log("record_not_written", "err", err)
	}
	if _, err := w.commitInEpoch(ctx, token.Epoch(), gone); err != nil {
		w.log("duty_not_handed_back", "err", err)
	}
}

// updateRecord writes the record anew when what a successor needs has changed.
func (w *groupMonitor) updateRecord(ctx context.Context) {
	old, ok := w.currentRecord()
	if !ok {
		return
	}
	r, known := w.group.successorRequirements()
	r.Grantees, r.Granters = old.Grantees, w.quotaGranters(old)
	if !known || old.PendingPromotion == "" && old.Term == r.Term && old.SameMembers(r.Members) && len(r.Granters) == len(old.Granters) {
		return
	}
	if err := w.saveRecord(ctx, r); err != nil {
		w.log("record_not_written", "err", err)
	}
}

// recordPromotion writes down that an order is about to be given. Without that the next holder
// would take the old primary for the one that leads while the order is carried out late.
func (w *groupMonitor) recordPromotion(ctx context.Context, id string) error {
	r, ok := w.currentRecord()
	if !ok {
		return errRecordUnknown
	}
	if r.PendingPromotion == id {
		return nil
	}
	r.PendingPromotion, r.Term = id, max(r.Term, w.group.highestSeenTerm())
	return w.saveRecord(ctx, r)
}

// errRecordUnknown means that the record of the holder before could not be read.
var errRecordUnknown = errors.New("the record of the leadership is not known")
