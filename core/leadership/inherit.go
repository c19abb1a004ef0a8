package leadership

import (
	"slices"

	"pearlatch/core/kv"
)

// StoredRecord is a record as a host found it in the store.
type StoredRecord struct {
	Record
	// Revision is the revision at which its holder wrote it, or zero if there is no record. A copy of the store keeps that
	// revision's number, so its epoch is the record's own.
	Revision kv.Revision
}

// NewStoredRecord returns a record that a store shows at a revision.
func NewStoredRecord(r Record, shown kv.Revision) StoredRecord {
	return StoredRecord{r, kv.NewRevision(r.Epoch, shown.Number())}
}

// Inherit returns the record on which a holder goes on that has taken the duty in an epoch, out of the one in the store
// and the one that its host remembers from before the store last came back. The copy may lack the newest record: the
// order that stands there would be carried out though nobody knew of it.
//
// certain is false if another host may have held the duty since the record was written, and wrote nothing that has
// outlasted the store's return. Then it was not handed back, whatever the record says.
func Inherit(stored, remembered StoredRecord, taken kv.Epoch) (out StoredRecord, certain bool) {
	out = stored
	if stored.Revision.Epoch() < taken && remembered.Revision > stored.Revision {
		out = remembered
		out.Grantees = Union(stored.Grantees, remembered.Grantees...)
		out.Granters = Union(stored.Granters, remembered.Granters...)
	}
	if certain = out.Revision.Epoch() == taken; !certain {
		out.HandedBack = false
	}
	return out, certain
}

// Union returns hosts and some more, in order and each once.
func Union(hosts []string, more ...string) []string {
	out := slices.Concat(hosts, more)
	slices.Sort(out)
	return slices.Compact(out)
}
