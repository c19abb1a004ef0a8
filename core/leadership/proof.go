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
	// Received is the end of its log.
	Received group.Position
}

// PrimaryConfirmed reports whether the results of all other members prove that primary was the primary in the
// term when they were probed: none of them leads, and none knows of a later term. Every one of them must have
// answered, unless its process has ended, and at least one must have answered. The replies of some are not
// enough: a silent member may lead, and a restarted one has lost its fence.
func PrimaryConfirmed(primary string, term group.Term, members []string, results []ProbeResult) bool {
	byMember := make(map[string]ProbeResult, len(results))
	for _, r := range results {
		byMember[r.Member] = r
	}
	anyAnswered := false
	for _, m := range members {
		r := byMember[m]
		switch {
		case m == primary || r.ProcessEnded:
		case !r.Answered || r.Leads || r.Term > term:
			return false
		default:
			anyAnswered = true
		}
	}
	return anyAnswered
}

// unrefuted reports whether at least one other member answered and none contradicted that a member is the primary in
// the term. A lost packet may then be why PrimaryConfirmed returned false, and new probes may confirm the primary.
func unrefuted(term group.Term, results []ProbeResult) bool {
	anyAnswered := false
	for _, r := range results {
		if r.Leads || r.Answered && r.Term > term {
			return false
		}
		anyAnswered = anyAnswered || r.Answered
	}
	return anyAnswered
}

// minMembersForProof is the smallest group in which NoPromotionPending can prove anything. A switchover fences all
// replicas but its target, so a group of two members has no fence.
const minMembersForProof = 3

// NoPromotionPending reports whether the results of the other members prove that no promotion which an earlier
// coordinator requested can still take effect. All probes must have been sent after the last time at which such a
// request can have been accepted. last is the record that the earlier coordinator left, and current are the runs of the
// members that are listed now. ended is true if the earlier coordinator was a process of this host, which has ended.
//
// Before a coordinator requests a promotion, every replica but the target of a switchover holds a fence, or the primary
// was demoted. A fence lasts until the promotion takes effect, or until the replica restarts. So if the primary leads,
// no replica holds a fence, and no member has restarted since the record was written, nothing is pending. The promotion
// must not be recorded either: a recorded one may be requested again although its fences were lost.
//
// Some platforms don't report the runs of members. Restarts are then not visible, except that a log which was lost does
// not reach the floor of the record. The proof is accepted only if the earlier process has ended: the promotion was then
// requested before that process was restarted, and a replica would have to restart with its log in the time that is left.
//
// It is designed for the restart of all hosts. Every group has a new coordinator then, and all callers waited for
// PromotionDelay, which guards against a promotion that hardly ever exists.
func NoPromotionPending(last Record, ended bool, current []MemberRun, primary string, term group.Term, results []ProbeResult) bool {
	if last.PendingPromotion != "" || last.Term > term || len(current) < minMembersForProof || !last.SameMembers(current) {
		return false
	}
	members := make([]string, len(current))
	for i, m := range current {
		if m.Incarnation == 0 && !ended {
			return false
		}
		members[i] = m.Member
	}
	for _, r := range results {
		if r.Member != primary && r.Received.Compare(last.Floor) < 0 {
			return false
		}
	}
	return noReplacementSeen(primary, term, members, results)
}
