package group

// FenceAck is the answer of a member that has accepted a fence. From then on
// its log can't grow under an older term.
type FenceAck struct {
	// Member is the index of the member.
	Member int
	// LogTerm is the Status.LogTerm of the member once it receives nothing
	// more. It is then the term of the last record in the member's log.
	LogTerm Term
	// Received is the end of the member's log.
	Received LSN
	// InRecovery is false if the member was a primary.
	InRecovery bool
}

// position returns the end of the member's log.
func (f FenceAck) position() Position { return Position{Term: f.LogTerm, LSN: f.Received} }

// Candidate returns the member to promote in a group of n members, given the
// acknowledgments of a fence, or false if no majority has accepted the fence.
//
// It chooses the member with the highest position. Any majority that confirmed
// an acknowledged write overlaps the fenced majority, so the highest position
// includes every acknowledged write. A member for which avoid returns true is
// chosen only if its position is higher than that of every other member, or all
// members at that position are avoided too.
func Candidate(fenced []FenceAck, n int, avoid func(member int) bool) (FenceAck, bool) {
	if len(fenced) < Majority(n) {
		return FenceAck{}, false
	}
	best := fenced[0]
	for _, f := range fenced[1:] {
		c := f.position().Compare(best.position())
		if c > 0 || c == 0 && avoid(best.Member) && !avoid(f.Member) {
			best = f
		}
	}
	return best, true
}
