package leadership

import (
	"slices"

	"pearlatch/core/kv"
)

// StoredRecord is a record as a host read it from the store.
type StoredRecord struct {
	Record
	// Revision is the revision at which the holder wrote the record, or zero if there is no record. A restored
	// copy of the store keeps the number of that revision, so the epoch is that of the record.
	Revision kv.Revision
}

// NewStoredRecord returns the record r that the store returned at the given revision.
func NewStoredRecord(r Record, revision kv.Revision) StoredRecord {
	return StoredRecord{r, kv.NewRevision(r.Epoch, revision.Number())}
}

// Inherit returns the record from which a holder continues that claimed the duty in the epoch taken. It chooses
// between the record in the store and the one that the host remembers from before the last restore of the store.
// The restored copy may lack the newest record, and with it a promotion order that may still be executed.
//
// certain is false if another host may have held the duty after the record was written, and its writes were lost
// in the restore. HandedBack is then false, whatever the record says.
func Inherit(stored, remembered StoredRecord, taken kv.Epoch) (out StoredRecord, certain bool) {
	out = stored
	if stored.Revision.Epoch() < taken && remembered.Revision > stored.Revision {
		out = remembered
		out.PortionHolders = Union(stored.PortionHolders, remembered.PortionHolders...)
		out.QuotaGranters = Union(stored.QuotaGranters, remembered.QuotaGranters...)
	}
	if certain = out.Revision.Epoch() == taken; !certain {
		out.HandedBack = false
	}
	return out, certain
}

// Union returns the sorted union of two lists of hosts.
func Union(hosts []string, more ...string) []string {
	out := slices.Concat(hosts, more)
	slices.Sort(out)
	return slices.Compact(out)
}
