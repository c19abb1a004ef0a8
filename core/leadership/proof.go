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
	// Term is the newest term that the member knows.
	Term group.Term
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
