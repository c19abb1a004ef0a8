package kv

import "fmt"

// Epoch is how many times a store was restored from an older backup. The first epoch is zero.
type Epoch int64

// Revision is the number of a change of a store, combined with the epoch in which the store assigned it. Revisions are
// ordered like the changes, across all epochs. Those of the first epoch equal the store's own numbers. Zero is before all
// changes.
//
// If the holder of a lease or of a role writes a key to acquire it, the revision of that write is the holder's fencing
// token, since it is unique and exceeds all earlier revisions.
type Revision int64

// EpochBits is the maximum number of bits of an epoch.
const EpochBits = 63 - numberBits

// numberBits is the number of bits of a revision that hold the store's number. At 1,200 changes a second they last for 29
// years.
const numberBits = 40

// NewRevision returns the revision for a number that the store assigned in an epoch.
func NewRevision(e Epoch, number int64) Revision { return Revision(int64(e)<<numberBits | number) }

// Epoch returns the epoch in which the store assigned the revision.
func (r Revision) Epoch() Epoch { return Epoch(r >> numberBits) }

// Number returns the store's own number of the change. The store may assign it again in a later epoch.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

var _ fmt.Stringer = Revision(0)

// String implements fmt.Stringer. It returns the number for a revision of the first epoch and "epoch.number" for others.
func (r Revision) String() string {
	if r.Epoch() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.Epoch(), r.Number())
}
