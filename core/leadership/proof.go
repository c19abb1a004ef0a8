package leadership

import "pearlatch/core/group"

// ProbeResult is the reply of a member to a probe, or the lack of one.
type ProbeResult struct {
	Member   string
	Answered bool
	// ProcessEnded is true if the process of the member has certainly ended: its host refuses the connection.
	ProcessEnded bool
	Leads        bool
	// Term is the newest term that the member knows, and FenceTerm the term of a fence that stops it from
	// receiving the log, or zero.
	Term, FenceTerm group.Term
}

// PrimaryConfirmed reports whether the results of all other members prove that primary was the primary in the
// term when they were probed: none of them leads, and none knows of a later term. Every one of them must have
// answered, unless its process has ended. One that is silent may lead, and one that was restarted has lost its
// fence, so the replies of some are not enough.
func PrimaryConfirmed(primary string, term group.Term, members []string, results []ProbeResult) bool {
	byMember := make(map[string]ProbeResult, len(results))
	for _, r := range results {
		byMember[r.Member] = r
	}
	anyFollows := false
	for _, m := range members {
		r := byMember[m]
		switch {
		case m == primary || r.ProcessEnded:
		case !r.Answered || r.Leads || r.Term > term:
			return false
		default:
			anyFollows = true
		}
	}
	return anyFollows
}

// WriteConfirmed reports whether the results of the other members prove that a write is kept which the primary
// acknowledged in the term before they were probed. A holder that replaces the primary fences all replicas
// before it determines the position that a successor must have. If all replicas follow and none has a fence of a
// later term, no replacement has started. A member that did not answer may have been promoted, even if its
// process has ended since: the promotion removes the fences of the other replicas, which then receive from the
// old primary if a partition separates them and the old primary from the new one.
func WriteConfirmed(primary string, term group.Term, members []string, results []ProbeResult) bool {
	for _, r := range results {
		if r.Member != primary && (!r.Answered || r.FenceTerm > term) {
			return false
		}
	}
	return PrimaryConfirmed(primary, term, members, results)
}
