package leadership

import "pearlatch/core/group"

// ProbeResult is what a member said of itself when it was asked, or that it said nothing.
type ProbeResult struct {
	Member   string
	Answered bool
	// ProcessEnded is true for a member whose process has certainly ended: its host refuses the
	// connection.
	ProcessEnded bool
	Leads        bool
	// Term is the newest term that the member knows, and FenceTerm the one of a fence that
	// keeps it from receiving, or zero.
	Term, FenceTerm group.Term
}

// PrimaryConfirmed reports whether the answers of all members but one prove that this one
// led in the term when they were asked: no other one leads, and none has heard of a
// later term. The answer of each of them is needed, unless its process has ended. One that
// is silent may lead, and one that was started again has forgotten that it was stopped from
// receiving, so the word of some is not enough.
func PrimaryConfirmed(primary string, term group.Term, members []string, answers []ProbeResult) bool {
	by := make(map[string]ProbeResult, len(answers))
	for _, a := range answers {
		by[a.Member] = a
	}
	followed := false
	for _, m := range members {
		a := by[m]
		switch {
		case m == primary || a.ProcessEnded:
		case !a.Answered || a.Leads || a.Term > term:
			return false
		default:
			followed = true
		}
	}
	return followed
}

// WriteConfirmed reports whether the answers of the other members let a write stand that the
// primary acknowledged in the term before they were asked. A holder that replaces the
// primary fences all replicas before it reads what a successor must hold, so where all
// follow, unfenced, it has not. One that does not answer may have been promoted, even if it has
// ended since: that ended the fences of the others, which then receive from the old primary if
// they were parted from the new one together.
func WriteConfirmed(primary string, term group.Term, members []string, answers []ProbeResult) bool {
	for _, a := range answers {
		if a.Member != primary && (!a.Answered || a.FenceTerm > term) {
			return false
		}
	}
	return PrimaryConfirmed(primary, term, members, answers)
}
