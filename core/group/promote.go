package group

// FenceAck is a member's answer to an accepted fence: its log can no longer grow
// under an older term.
type FenceAck struct {
	// Member is the index of the member.
	Member int
	// LogTerm is the term of the last record that it holds.
	LogTerm Term
	// Received is the end of its log.
	Received LSN
	// InRecovery is false when the member was a primary.
	InRecovery bool
}

// position returns the end of the member's log.
func (f FenceAck) position() Position { return Position{Term: f.LogTerm, LSN: f.Received} }

// Candidate returns the member to promote out of those that accepted a fence,
// of a group of n members, or false when a majority has not accepted. The
// member with the highest position is chosen: any majority that confirmed an
// acknowledged write overlaps the fenced one, so the highest position includes
// every acknowledged write. Members for which barred returns true are passed
// over only if another member holds as much.
func Candidate(fenced []FenceAck, n int, barred func(member int) bool) (FenceAck, bool) {
	if len(fenced) < Majority(n) {
		return FenceAck{}, false
	}
	best := fenced[0]
	for _, f := range fenced[1:] {
		c := f.position().Compare(best.position())
		if c > 0 || c == 0 && barred(best.Member) && !barred(f.Member) {
			best = f
		}
	}
	return best, true
}
