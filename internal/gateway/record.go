package gateway

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

func (h *Host) recordsPrefix() string { return h.ports.Keys.Own + "leadership/" }

func (h *Host) recordKey(group string) string { return h.recordsPrefix() + group }

// remember keeps the records that the store has lost, or holds in an older form, for those who take a duty now. h.mu
// is held.
func (h *Host) remember(former []kv.Item) {
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
		if f := leadership.NewFound(r, i.Revision); f.At > h.remembered[name].At {
			h.remembered[name] = f
		}
	}
}

// remembers returns the newest record that this host knows from before the store last came back.
func (d *duty) remembers() leadership.Found {
	d.host.mu.Lock()
	out := d.host.remembered[d.group.name]
	d.host.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.record.At > out.At {
		return d.record
	}
	return out
}

// stored returns the record that was read, or false if there is one that can't be read.
func (d *duty) stored(read kv.Item) (leadership.Found, bool) {
	if len(read.Value) == 0 {
		return leadership.Found{}, true
	}
	r, err := decodeRecord(read.Value)
	if err != nil {
		d.log("record_unreadable", "revision", read.Revision, "err", err)
		return leadership.Found{}, false
	}
	return leadership.NewFound(r, read.Revision), true
}

// inherit reads the record of the holder before, and writes it anew under this one's name,
// so that what the holder before still writes fails.
func (d *duty) inherit(ctx context.Context) error {
	read, err := d.host.read(ctx, d.host.recordKey(d.group.name))
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	stored, readable := d.stored(read)
	found, certain := leadership.Inherit(stored, d.remembers(), d.heldSince())
	certain = certain && readable
	r := found.Record
	before := r.Granters
	if !certain {
		// A holder that the store has forgotten may be any host.
		before = leadership.Union(before, d.host.fleet.listedIDs()...)
		r.Grantees = leadership.Union(r.Grantees, before...)
	}
	r.Holder, r.HandedBack = d.host.settings.Host, false
	r.Granters = leadership.Union(before, d.host.settings.Host)
	if err := d.write(call, r, read.Revision); err != nil {
		return err
	}
	d.group.adoptFloor(r, found.At)
	d.group.ledIn(r.Term)
	d.granteesInherited(r.Grantees, before)
	d.mu.Lock()
	if !d.inherited { // later, this holder knows best which order it gave
		d.inherited, d.handedBack = true, certain && (found.HandedBack || found.Holder == "")
		if certain && found.Holder == "" && !d.reclaimed {
			// A holder orders nothing before it has left a record. When a fleet starts for the first time, a thousand
			// tokens took the platform 20 s.
			d.first = d.token
		}
		d.reclaimed = d.reclaimed && certain && found.Holder == d.host.settings.Host
		d.ordered, d.orderedToken, d.orderedAt = found.Ordered, 0, d.host.now()
	}
	d.mu.Unlock()
	d.log("record_inherited", "before", found.Holder, "term", r.Term, "floor", r.Floor, "ordered", found.Ordered, "written", found.At, "certain", certain)
	return nil
}

// save writes the record. After an error nobody knows whether it was written, and it must
// be inherited again.
func (d *duty) save(ctx context.Context, r leadership.Record) error {
	d.mu.Lock()
	revision, last := d.recordRevision, d.record.Record
	d.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	r.Holder = d.host.settings.Host
	if r.Grantees == nil {
		r.Grantees = last.Grantees
	}
	if r.Granters = d.granters(last); r.HandedBack {
		r.Granters = without(r.Granters, r.Holder)
	}
	err := d.write(call, r, revision)
	if err != nil {
		d.mu.Lock()
		d.recordRevision = 0
		d.mu.Unlock()
	}
	return errors.Wrap(err, "record of the leadership")
}

func (d *duty) write(ctx context.Context, r leadership.Record, revision kv.Revision) error {
	r.Epoch = d.heldSince()
	value, err := encodeRecord(r)
	if err != nil {
		return err
	}
	written, err := d.put(ctx, r.Epoch, d.host.recordKey(d.group.name), revision, value, 0)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record, d.recordRevision = leadership.Found{Record: r, At: written}, written
	return nil
}

// knowsOrders reports whether this host knows of all recorded orders of earlier holders.
func (d *duty) knowsOrders() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inherited
}

// recorded returns the record as this host wrote it, or false if that is not certain.
func (d *duty) recorded() (leadership.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record.Record, d.recordRevision != 0
}

// handBack writes down that this holder gives no more orders.
func (w *watcher) handBack(ctx context.Context) {
	r, ok := w.recorded()
	if !ok || w.openOrder() != "" {
		return
	}
	r.HandedBack = true
	if err := w.save(ctx, r); err != nil {
		w.log("record_not_written", "err", err)
	}
}

// keepRecord writes the record anew when what a successor needs has changed.
func (w *watcher) keepRecord(ctx context.Context) {
	old, ok := w.recorded()
	if !ok {
		return
	}
	r, known := w.group.successorNeeds()
	r.Grantees, r.Granters = old.Grantees, w.granters(old)
	if !known || old.Ordered == "" && old.Term == r.Term && old.SameMembers(r.Members) && len(r.Granters) == len(old.Granters) {
		return
	}
	if err := w.save(ctx, r); err != nil {
		w.log("record_not_written", "err", err)
	}
}

// recordOrder writes down that an order is about to be given. Without that the next holder
// would take the old primary for the one that leads while the order is carried out late.
func (w *watcher) recordOrder(ctx context.Context, id string) error {
	r, ok := w.recorded()
	if !ok {
		return errNotInherited
	}
	if r.Ordered == id {
		return nil
	}
	r.Ordered, r.Term = id, max(r.Term, w.group.seenTerm())
	return w.save(ctx, r)
}

// errNotInherited means that the record of the holder before could not be read.
var errNotInherited = errors.New("the record of the leadership is not known")
