package group

// NoMember is the index that stands for "no member".
const NoMember = -1

// Majority returns the number of members that form a majority of n.
func Majority(n int) int { return n/2 + 1 }

// Leadership tells which member is the primary of a group, as far as the
// samples show. Its implementations are Led and Leaderless.
type Leadership interface{ isLeadership() }

// Led means that exactly one member takes writes in the highest term seen.
type Led struct {
	// Primary is the index of the member.
	Primary int
	// Term is the primary's term, which is the highest term of all samples.
	Term Term
}

// Leaderless means that no single sampled member takes writes in the highest
// term.
type Leaderless struct {
	// Highest is the highest term seen. The term of the next promotion must
	// exceed it.
	Highest Term
}

func (Led) isLeadership()        {}
func (Leaderless) isLeadership() {}

// FindPrimary returns the leadership of a group, given the latest sample of
// each member.
//
// The primary of a term is the member that is out of recovery and has written
// the term record of the term. Being out of recovery is not enough, since a
// replaced primary is out of recovery too: it stores an older fence, or it has
// accepted the new fence without writing the new term record.
func FindPrimary(samples []Sample) Leadership {
	var highest Term
	for _, s := range samples {
		if s.Answered() {
			highest = max(highest, s.Status.Fence.Term)
		}
	}
	primary := NoMember
	for i, s := range samples {
		if !s.Answered() || !s.Status.Leads() || s.Status.Fence.Term != highest {
			continue
		}
		if primary != NoMember {
			// With two primaries in one term, neither can be trusted.
			return Leaderless{Highest: highest}
		}
		primary = i
	}
	if primary == NoMember {
		return Leaderless{Highest: highest}
	}
	return Led{Primary: primary, Term: highest}
}

// Follows reports whether a replica with status s receives the log of a primary
// with status p. Comparing log positions is not enough, since the tail of an
// older term can be longer than the log of the new one.
func Follows(s, p Status) bool {
	return s.InRecovery && s.Streaming && s.Fence.Term == p.Fence.Term && s.Timeline == p.Timeline
}
