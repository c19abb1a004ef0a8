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
	// AsOf is the latest time such that a majority, including the primary,
	// answered probes sent at or after it. The term was still current at that
	// time. This majority may differ from the one that holds LSN.
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
	majoritySize := Majority(len(samples))
	if len(held) < majoritySize {
		return Confirmation{}, false
	}
	slices.SortFunc(held, func(a, b LSN) int { return -compareLSN(a, b) })
	return Confirmation{LSN: held[majoritySize-1], AsOf: majorityAsOf(sentAt, majoritySize)}, true
}

// majorityAsOf returns the latest time such that majoritySize members,
// including the primary, were probed at or after it. The first entry of sentAt
// is the time at which the primary was probed.
func majorityAsOf(sentAt []time.Time, majoritySize int) time.Time {
	primary := sentAt[0]
	rest := slices.Clone(sentAt[1:])
	slices.SortFunc(rest, func(a, b time.Time) int { return b.Compare(a) })
	if majoritySize == 1 {
		return primary
	}
	if earliest := rest[majoritySize-2]; earliest.Before(primary) {
		return earliest
	}
	return primary
}

func compareLSN(a, b LSN) int {
	return Position{LSN: a}.Compare(Position{LSN: b})
}
