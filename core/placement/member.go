package placement

import "time"

// Member is what is known of a member that may run a statement.
type Member struct {
	// Latency is the average time that statements took there lately, waiting
	// included. Zero stands for unknown.
	Latency time.Duration
	// Running is how many statements of this host run there.
	Running int
	// SameZone is true when the member is in the host's availability zone.
	SameZone bool
	// IsPrimary is true for the primary.
	IsPrimary bool
	// Suspect members failed to answer lately.
	Suspect bool
}

const (
	// crossZoneCost is what a member in another availability zone costs: the two ways of
	// about 1 ms that the users' sites have, and its price in bytes.
	crossZoneCost = 3 * time.Millisecond
	// primaryCost keeps reads off the primary, which alone takes writes,
	// while a replica is no more than about one statement slower.
	primaryCost = 12 * time.Millisecond
	// suspectCost puts a member that did not answer behind all others.
	suspectCost = time.Second
	// defaultLatency stands for a member without a sample: low, so that a new
	// member is tried.
	defaultLatency = 5 * time.Millisecond
	// latencyWeight of a new sample in the moving average: about ten statements
	// decide, half a second of an ordinary load.
	latencyWeight = 0.15
)

// Cost predicts how long a read takes on the member, with what keeps reads off
// it added.
func (m Member) Cost() time.Duration {
	latency := m.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	cost := latency * time.Duration(m.Running+1)
	if !m.SameZone {
		cost += crossZoneCost
	}
	if m.IsPrimary {
		cost += primaryCost
	}
	if m.Suspect {
		cost += suspectCost
	}
	return cost
}

// UpdateLatency returns the average latency after another sample.
func UpdateLatency(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencyWeight*float64(sample-average))
}
