package leadership

import (
	"time"

	"pearlatch/core/group"
)

// WriteProof says what proves that the next primary has a write which the present one has acknowledged.
//
// The set of replicas that receive the log may change at any time: replicas join, restart without their fence, and fall
// behind. That a member received everything when it was chosen as the successor says nothing about later writes.
type WriteProof interface{ writeProof() }

// ProvenByLease means that no promotion of another member had been requested when the primary acknowledged the write.
type ProvenByLease struct{}

// ProvenByTarget means that only the target may be promoted, so that it must have received the write.
type ProvenByTarget struct{ Target string }

// ProvenByAll means that any member may be promoted, so that all of them must have received the write.
type ProvenByAll struct{}

func (ProvenByLease) writeProof()  {}
func (ProvenByTarget) writeProof() {}
func (ProvenByAll) writeProof()    {}

var (
	_ WriteProof = ProvenByLease{}
	_ WriteProof = ProvenByTarget{}
	_ WriteProof = ProvenByAll{}
)

// WriteProof returns what the lease contributes to the proof of a write that the member has acknowledged in the term by the
// given time. now is not earlier than that time.
//
// A full lease on the member that is valid at now suffices even if it was granted later: the primary led with the write in its
// log then, and no promotion was pending.
func (l Lease) WriteProof(member string, term group.Term, acknowledged, now time.Time) WriteProof {
	switch {
	case l.Term != term:
	case l.CoversReads(member, acknowledged), l.CoversReads(member, now):
		return ProvenByLease{}
	case l.Target == "" || !l.covers(member, acknowledged):
	case l.Target == member:
		return ProvenByLease{}
	default:
		return ProvenByTarget{l.Target}
	}
	return ProvenByAll{}
}

// Confirmation is the outcome of an attempt to prove that a write is kept.
type Confirmation int

//go:generate go tool stringer -type Confirmation

const (
	// Unconfirmed means that a later attempt may succeed.
	Unconfirmed Confirmation = iota
	// Confirmed means that the write is kept.
	Confirmed
	// Unconfirmable means that the primary was replaced and its successor does not certainly have the write.
	Unconfirmable
)

// ConfirmByTarget evaluates a probe of the switchover target that was sent after the write at the position was acknowledged.
// A position of a later term in its log proves nothing: the target may have been promoted without the write.
func ConfirmByTarget(written group.Position, target ProbeResult) Confirmation {
	replaced := target.Leads || target.Term > written.Term
	switch {
	case !target.Answered:
		return Unconfirmed
	case target.holds(written) && (target.Leads || !replaced):
		return Confirmed
	case replaced:
		return Unconfirmable
	}
	return Unconfirmed
}

// ConfirmByAll evaluates probes of all other members that were sent after the primary had acknowledged the write at the
// position. Each member must have received the write, so that it is kept whichever is promoted. A member that does not answer
// may be one that lacks it, even if its process has ended: it may lead when it is back.
//
// None may have a fence of a later term. A coordinator that replaces the primary may have fenced the member before it received
// the write, and the restart that ended the fence may be unknown.
func ConfirmByAll(primary string, written group.Position, members []string, results []ProbeResult) Confirmation {
	for _, r := range results {
		if r.Member != primary && r.Answered && (r.Leads || r.Term > written.Term) {
			return Unconfirmable
		}
	}
	if !noReplacementSeen(primary, written.Term, members, results) {
		return Unconfirmed
	}
	for _, r := range results {
		if r.Member != primary && !r.holds(written) {
			return Unconfirmed
		}
	}
	return Confirmed
}

// holds reports whether the log of the member contains the position, in the term of the position.
func (r ProbeResult) holds(p group.Position) bool {
	return r.Answered && r.Received.Term == p.Term && r.Received.Compare(p) >= 0
}

// noReplacementSeen reports whether every other member has answered, follows in the term and has no fence of a later one. A
// member whose process has ended must be back, since it may have been promoted before it ended. The promotion removed the
// fences of the other replicas. If a partition then separated the new primary from the other members, these receive from the
// old primary again and look as if nothing had happened.
func noReplacementSeen(primary string, term group.Term, members []string, results []ProbeResult) bool {
	for _, r := range results {
		if r.Member != primary && (!r.Answered || r.FenceTerm > term) {
			return false
		}
	}
	return PrimaryConfirmed(primary, term, members, results)
}
