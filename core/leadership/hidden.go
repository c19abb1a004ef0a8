package leadership

import "pearlatch/core/group"

// HiddenPrimary says whether an unrecorded promotion of an earlier coordinator may have made a member the primary that nobody
// reaches.
type HiddenPrimary int

//go:generate go tool stringer -type HiddenPrimary

const (
	// HiddenPossible means that members which do not answer may have a primary among them that acknowledges writes.
	HiddenPossible HiddenPrimary = iota
	// HiddenAlone means that the one member which does not answer may be the primary. Without a replica it acknowledges no
	// write, so the known primary can be promoted in its place.
	HiddenAlone
	// HiddenNone means that the known primary is the latest one.
	HiddenNone
)

// FindHiddenPrimary returns what the results of the members other than the known primary show, which leads in the term. All
// probes must have been sent after Predecessor.SettledAt, so that every unrecorded promotion has taken effect.
//
// A member whose process has ended counts as one that does not answer: it leads again when it is back.
func FindHiddenPrimary(term group.Term, others []ProbeResult) HiddenPrimary {
	silent := 0
	for _, r := range others {
		switch {
		case !r.Answered:
			silent++
		case r.Leads || r.Term > term:
			return HiddenPossible
		}
	}
	switch silent {
	case 0:
		return HiddenNone
	case 1:
		return HiddenAlone
	}
	return HiddenPossible
}
