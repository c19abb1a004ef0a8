package leadership

import (
	"slices"

	"pearlatch/core/kv"
)

// StoredRecord is a record as a host read it from the store.
type StoredRecord struct {
	Record
	// Revision is the revision at which Holder wrote the record, or zero if there is no record. Its epoch is the
	// record's: a restored copy of the store keeps only the number of the revision.
	Revision kv.Revision
}

// NewStoredRecord returns the record r that the store returned at the given revision, of which it uses the number.
func NewStoredRecord(r Record, revision kv.Revision) StoredRecord {
	return StoredRecord{r, kv.NewRevision(r.Epoch, revision.Number())}
}

// Inherit returns the record from which a new coordinator continues. claimEpoch is the epoch in which it claimed
// the role. Inherit chooses between the record in the store and the one that the host remembers from before the
// last restore of the store. The restored copy may lack the newest record, and with it a promotion order that may
// still be executed.
//
// certain is false if another host may have held the role after the record was written, and its writes were lost
// in the restore. HandedBack is then false and ReserveHolders nil, whatever the record says.
func Inherit(stored, remembered StoredRecord, claimEpoch kv.Epoch) (out StoredRecord, certain bool) {
	out = stored
	if stored.Revision.Epoch() < claimEpoch && remembered.Revision > stored.Revision {
		out = remembered
		out.PortionHolders = Union(stored.PortionHolders, remembered.PortionHolders...)
		if out.ReserveHolders = nil; stored.ReserveHolders != nil && remembered.ReserveHolders != nil {
			out.ReserveHolders = Union(stored.ReserveHolders, remembered.ReserveHolders...)
		}
		out.QuotaGranters = Union(stored.QuotaGranters, remembered.QuotaGranters...)
	}
	if certain = out.Revision.Epoch() == claimEpoch; !certain {
		// The lost writes may have granted a reserve to any host.
		out.HandedBack, out.ReserveHolders = false, nil
	}
	return out, certain
}

// Union returns the sorted union of two lists of hosts.
func Union(hosts []string, more ...string) []string {
	out := slices.Concat(hosts, more)
	slices.Sort(out)
	return slices.Compact(out)
}

// Without returns a copy of hosts without one of them.
func Without(hosts []string, host string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(each string) bool { return each == host })
}
