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
	// Leads is true for the primary.
	Leads bool
	// Suspect members failed to answer lately.
	Suspect bool
}

const (
	// hop is what a member in another availability zone costs: the two ways of
	// about 1 ms that the users' sites have, and its price in bytes.
	hop = 3 * time.Millisecond
	// primaryPremium keeps reads off the primary, which alone takes writes,
	// while a replica is no more than about one statement slower.
	primaryPremium = 12 * time.Millisecond
	// suspicion puts a member that did not answer behind all others.
	suspicion = time.Second
	// unknownLatency stands for a member without a sample: low, so that a new
	// member is tried.
	unknownLatency = 5 * time.Millisecond
	// latencyWeight of a new sample in the moving average: about ten statements
	// decide, half a second of an ordinary load.
	latencyWeight = 0.15
)

// Cost predicts how long a read takes on the member, with what keeps reads off
// it added.
func (m Member) Cost() time.Duration {
	latency := m.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	cost := latency * time.Duration(m.Running+1)
	if !m.SameZone {
		cost += hop
	}
	if m.Leads {
		cost += primaryPremium
	}
	if m.Suspect {
		cost += suspicion
	}
	return cost
}

// Observe returns the average latency after another sample.
func Observe(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencyWeight*float64(sample-average))
}
