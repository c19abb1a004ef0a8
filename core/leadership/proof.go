package leadership

import (
	"time"

	"pearlatch/core/group"
)

// Answer is what a member said of itself when it was asked, or that it said nothing.
type Answer struct {
	Member   string
	Asked    time.Time
	Answered bool
	Leads    bool
	// Term is the newest term that the member knows, and Fenced the one of a fence that
	// keeps it from receiving, or zero.
	Term, Fenced group.Term
}

// Unchallenged reports whether the answers of all members but one prove that this one
// led in the term when they were asked: no other one leads, and none has heard of a
// later term. The answer of each of them is needed. One that is silent may lead, and
// one that was started again has forgotten that it was stopped from receiving, so the
// word of some is not enough.
func Unchallenged(primary string, term group.Term, members []string, answers []Answer) bool {
	by := make(map[string]Answer, len(answers))
	for _, a := range answers {
		by[a.Member] = a
	}
	for _, m := range members {
		if m == primary {
			continue
		}
		a, ok := by[m]
		if !ok || !a.Answered || a.Leads || a.Term > term {
			return false
		}
	}
	return len(members) > 1
}

// Undisputed reports whether the answers of the other members let a write stand that the
// primary acknowledged in the term before they were asked. A holder that replaces the
// primary fences all replicas that it reaches before it reads what a successor must hold, so
// one that follows, unfenced, has seen none of that. Silent ones are no reason to doubt:
// they are mostly dead, and the write has been received by one that is not.
func Undisputed(primary string, term group.Term, answers []Answer) bool {
	confirmed := false
	for _, a := range answers {
		if a.Member == primary || !a.Answered {
			continue
		}
		if a.Leads || a.Term > term || a.Fenced > term {
			return false
		}
		confirmed = true
	}
	return confirmed
}
