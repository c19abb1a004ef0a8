package group

// NoMember is the index that stands for "no member".
const NoMember = -1

// Majority returns how many of n members make a majority.
func Majority(n int) int { return n/2 + 1 }

// Leadership says who leads a group, as far as the samples tell. Its
// implementations are Led and Leaderless.
type Leadership interface{ isLeadership() }

// Led means that one member takes writes in the highest term seen.
type Led struct {
	// Primary is the index of the member.
	Primary int
	// Term is its term, and the highest of all samples.
	Term Term
}

// Leaderless means that no sampled member takes writes in the highest term.
type Leaderless struct {
	// Highest is the highest term seen; a promotion must exceed it.
	Highest Term
}

func (Led) isLeadership()        {}
func (Leaderless) isLeadership() {}

// FindPrimary returns who leads the group whose members' latest answers are given.
//
// The primary of a term is the member out of recovery that has written the
// term's record. A replaced primary is out of recovery too: it stores an older
// fence, or it accepted the new one without ever writing under it.
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
			// Two primaries in one term: neither may be trusted.
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
// with status p. Position alone does not show that: the tail of an older term
// can be longer than the log of the new one.
func Follows(s, p Status) bool {
	return s.InRecovery && s.Streaming && s.Fence.Term == p.Fence.Term && s.Timeline == p.Timeline
}
