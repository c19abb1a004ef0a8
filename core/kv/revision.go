package kv

import "fmt"

// Epoch is how often a store has come back from an older copy. The first one is zero.
type Epoch int64

// Revision is the number of a change of a store, with the epoch in which the store gave it out. Revisions are in the
// order of the changes, over all epochs; those of the first epoch equal the store's own numbers. Zero is before
// all changes.
//
// A revision at which a key was written by a holder serves as the holder's fencing token: it is given out once, and
// exceeds all earlier ones.
type Revision int64

// EpochBits is how many bits an epoch has at most.
const EpochBits = 63 - numberBits

// numberBits is how many of a revision's bits hold the store's number: at 1,200 changes a second they last for 29 years.
const numberBits = 40

// NewRevision returns the revision of a number that a store gave out in an epoch.
func NewRevision(e Epoch, number int64) Revision { return Revision(int64(e)<<numberBits | number) }

// Epoch returns the epoch in which the store gave the revision out.
func (r Revision) Epoch() Epoch { return Epoch(r >> numberBits) }

// Number returns the store's own number of the change, which it may give out again in a later epoch.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

var _ fmt.Stringer = Revision(0)

// String implements fmt.Stringer. A revision of the first epoch reads as its number, others as epoch and number.
func (r Revision) String() string {
	if r.Epoch() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.Epoch(), r.Number())
}
