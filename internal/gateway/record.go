package gateway

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

// The form of a leadership.Record in the store.
type (
	wireRecord struct {
		Holder   string         `json:"holder"`
		Term     uint64         `json:"term"`
		Members  []wireLifetime `json:"members,omitempty"`
		FloorIn  uint64         `json:"floor_term,omitempty"`
		FloorLSN uint64         `json:"floor_lsn,omitempty"`
		Ordered  string         `json:"ordered,omitempty"`
		// HandedBack is true once the holder has given the duty back.
		HandedBack bool     `json:"handed_back,omitempty"`
		Grantees   []string `json:"grantees,omitempty"`
		Granters   []string `json:"granters,omitempty"`
	}
	wireLifetime struct {
		Member string `json:"member"`
		Born   int64  `json:"born,omitempty"`
	}
)

func encodeRecord(r leadership.Record) ([]byte, error) {
	out := wireRecord{
		Holder: r.Holder, Term: uint64(r.Term), Ordered: r.Ordered, HandedBack: r.HandedBack, Grantees: r.Grantees, Granters: r.Granters,
		FloorIn: uint64(r.Floor.Term), FloorLSN: uint64(r.Floor.LSN),
	}
	for _, m := range r.Members {
		out.Members = append(out.Members, wireLifetime{m.Member, m.Born})
	}
	return json.Marshal(out)
}

func decodeRecord(value []byte) (leadership.Record, error) {
	var in wireRecord
	if err := json.Unmarshal(value, &in); err != nil {
		return leadership.Record{}, errors.Wrap(err, "record of a group's leadership")
	}
	out := leadership.Record{
		Holder: in.Holder, Term: group.Term(in.Term), Ordered: in.Ordered, HandedBack: in.HandedBack, Grantees: in.Grantees, Granters: in.Granters,
		Floor: group.Position{Term: group.Term(in.FloorIn), LSN: group.LSN(in.FloorLSN)},
	}
	for _, m := range in.Members {
		out.Members = append(out.Members, leadership.Lifetime{Member: m.Member, Born: m.Born})
	}
	return out, nil
}

func (h *Host) recordKey(group string) string { return h.ports.Keys.Own + "leadership/" + group }

// inherit reads the record of the holder before, and writes it anew under this one's name,
// so that what the holder before still writes fails.
func (d *duty) inherit(ctx context.Context) error {
	found, err := d.host.read(ctx, d.host.recordKey(d.group.name))
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var r leadership.Record
	if len(found.Value) > 0 {
		if r, err = decodeRecord(found.Value); err != nil {
			d.log("record_unreadable", "revision", found.Revision, "err", err)
		}
	}
	ordered, holder, handedBack := r.Ordered, r.Holder, r.HandedBack
	before := r.Granters
	r.Holder, r.HandedBack = d.host.settings.Host, false
	r.Granters = withHost(before, d.host.settings.Host)
	if err := d.write(call, r, found.Revision); err != nil {
		return err
	}
	d.group.adoptFloor(r, found.Revision)
	d.group.ledIn(r.Term)
	d.granteesInherited(r.Grantees, before)
	d.mu.Lock()
	if !d.inherited { // later, this holder knows best which order it gave
		d.inherited, d.handedBack = true, handedBack || holder == ""
		d.ordered, d.orderedToken, d.orderedAt = ordered, 0, d.host.now()
	}
	d.mu.Unlock()
	d.log("record_inherited", "before", holder, "term", r.Term, "floor", r.Floor, "ordered", ordered)
	return nil
}

// save writes the record. After an error nobody knows whether it was written, and it must
// be inherited again.
func (d *duty) save(ctx context.Context, r leadership.Record) error {
	d.mu.Lock()
	revision, last := d.recordRevision, d.record
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
	value, err := encodeRecord(r)
	if err != nil {
		return err
	}
	written, err := d.host.ports.Store.Put(ctx, d.host.recordKey(d.group.name), revision, value, 0)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record, d.recordRevision = r, written
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
	return d.record, d.recordRevision != 0
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
