package leadership

import "pearlatch/core/group"

// HiddenPrimary says whether a member that does not answer may be the primary, after a promotion that an earlier coordinator
// requested without recording it.
type HiddenPrimary int

//go:generate go tool stringer -type HiddenPrimary

const (
	// HiddenPossible means that several members do not answer, one of which may be the primary and acknowledge writes with
	// another.
	HiddenPossible HiddenPrimary = iota
	// HiddenAlone means that the one member which does not answer may be the primary. Without a replica it acknowledges no
	// write, so the known primary can be promoted in its place.
	HiddenAlone
	// HiddenNone means that the known primary is the latest one.
	HiddenNone
)

// FindHiddenPrimary returns what probes show. term is the term of the known primary, and others are the results of all other
// members. The probes must have been sent after Predecessor.SettledAt, when every unrecorded promotion has taken effect.
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
