package leadership

import (
	"time"

	"pearlatch/core/group"
)

// minCheckBackoff and MaxCheckBackoff bound the exponential backoff after a failed check of the primary, from a round
// trip within a region to half of the time in which a lost primary is detected.
const (
	minCheckBackoff = 10 * time.Millisecond
	MaxCheckBackoff = 320 * time.Millisecond
)

// CheckSchedule bounds the load that checks of the primary put on the members while they fail and many statements wait
// for one. The zero value is ready for use. It is not safe for concurrent use.
type CheckSchedule struct {
	backoff time.Duration
	next    time.Time
}

// Due reports whether a check may start.
func (s *CheckSchedule) Due(now time.Time) bool { return !now.Before(s.next) }

// Pass records a check that confirmed the primary.
func (s *CheckSchedule) Pass() { *s = CheckSchedule{} }

// Fail records a check in the term that did not confirm the primary. If no member contradicted, a packet may have been
// lost, and the next check may start soon.
func (s *CheckSchedule) Fail(now time.Time, term group.Term, results []ProbeResult) {
	s.backoff = min(max(2*s.backoff, minCheckBackoff), MaxCheckBackoff)
	if unrefuted(term, results) {
		s.backoff = minCheckBackoff
	}
	s.next = now.Add(s.backoff)
}
