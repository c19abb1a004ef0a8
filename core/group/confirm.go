package group

import (
	"slices"
	"time"
)

// Confirmation is what a majority of the members, the primary among them, was
// seen to hold.
type Confirmation struct {
	// LSN is the highest log sequence number held by a majority.
	LSN LSN
	// AsOf is the oldest question among the answers that make the majority:
	// at that moment the term still stood.
	AsOf time.Time
}

// Confirm returns what the majority of samples holds under the given primary,
// considering only answers to questions asked at or after since. It returns
// false when no majority has answered that.
func Confirm(samples []Sample, primary int, since time.Time) (Confirmation, bool) {
	p := samples[primary]
	if !p.Answered() || !p.Status.Leads() || p.SentAt.Before(since) {
		return Confirmation{}, false
	}
	held := []LSN{p.Status.Received}
	asked := []time.Time{p.SentAt}
	for i, s := range samples {
		if i == primary || !s.Answered() || s.SentAt.Before(since) || !Follows(s.Status, p.Status) {
			continue
		}
		held = append(held, s.Status.Received)
		asked = append(asked, s.SentAt)
	}
	need := Majority(len(samples))
	if len(held) < need {
		return Confirmation{}, false
	}
	slices.SortFunc(held, func(a, b LSN) int { return -compareLSN(a, b) })
	return Confirmation{LSN: held[need-1], AsOf: majorityAsOf(asked, need)}, true
}

// majorityAsOf returns the latest moment at or after which a majority was
// asked. The first entry is the primary's, without which there is no majority.
func majorityAsOf(asked []time.Time, need int) time.Time {
	primary := asked[0]
	rest := slices.Clone(asked[1:])
	slices.SortFunc(rest, func(a, b time.Time) int { return b.Compare(a) })
	if need == 1 {
		return primary
	}
	if slowest := rest[need-2]; slowest.Before(primary) {
		return slowest
	}
	return primary
}

func compareLSN(a, b LSN) int {
	return Position{LSN: a}.Compare(Position{LSN: b})
}
