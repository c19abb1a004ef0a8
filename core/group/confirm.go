package group

import (
	"slices"
	"time"
)

// Confirmation is the part of the log that a majority of the members, including
// the primary, was seen to hold.
type Confirmation struct {
	// LSN is the highest log sequence number held by a majority.
	LSN LSN
	// AsOf is the earliest send time among the probes whose answers form the
	// majority. The term was still current at that time.
	AsOf time.Time
}

// Confirm returns what a majority of the members holds under the given primary,
// which is an index into samples. It considers only answers to probes sent at
// or after since, and returns false if they include no majority.
func Confirm(samples []Sample, primary int, since time.Time) (Confirmation, bool) {
	p := samples[primary]
	if !p.Answered() || !p.Status.Leads() || p.SentAt.Before(since) {
		return Confirmation{}, false
	}
	held := []LSN{p.Status.Received}
	sentAt := []time.Time{p.SentAt}
	for i, s := range samples {
		if i == primary || !s.Answered() || s.SentAt.Before(since) || !Follows(s.Status, p.Status) {
			continue
		}
		held = append(held, s.Status.Received)
		sentAt = append(sentAt, s.SentAt)
	}
	majority := Majority(len(samples))
	if len(held) < majority {
		return Confirmation{}, false
	}
	slices.SortFunc(held, func(a, b LSN) int { return -compareLSN(a, b) })
	return Confirmation{LSN: held[majority-1], AsOf: majorityAsOf(sentAt, majority)}, true
}

// majorityAsOf returns the latest time such that a majority, given as its
// number of members, was probed at or after it. The first entry of sentAt is
// the primary's send time: there is no majority without the primary.
func majorityAsOf(sentAt []time.Time, majority int) time.Time {
	primary := sentAt[0]
	rest := slices.Clone(sentAt[1:])
	slices.SortFunc(rest, func(a, b time.Time) int { return b.Compare(a) })
	if majority == 1 {
		return primary
	}
	if slowest := rest[majority-2]; slowest.Before(primary) {
		return slowest
	}
	return primary
}

func compareLSN(a, b LSN) int {
	return Position{LSN: a}.Compare(Position{LSN: b})
}
