package usage

//go:generate go tool stringer -type=Cause -linecomment -output=cause_string.go

// Cause is why an operation was refused. Refused operations have not run.
type Cause uint8

// The causes.
const (
	// Quota means that the account's quota was used up.
	Quota Cause = iota // quota
	// Load means that no member had room in time.
	Load // load
	// NoPrimary means that the operation needs the primary, and that was unknown or unreachable.
	NoPrimary // no_primary
)

// causeCount is the number of causes.
const causeCount = 3

// Refusals counts refused operations, indexed by Cause.
type Refusals [causeCount]int64

// add adds the counts of o.
func (r *Refusals) add(o Refusals) {
	for c, n := range o {
		r[c] += n
	}
}
