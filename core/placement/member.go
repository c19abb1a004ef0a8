package placement

import "time"

// Member is the state of a member that may run a statement, as known to this host.
type Member struct {
	// Latency is the moving average of statement times on the member, queueing included. Zero means unknown.
	Latency time.Duration
	// Running is the number of statements of this host that run on the member.
	Running int
	// SameZone is true if the member is in the host's availability zone.
	SameZone  bool
	IsPrimary bool
	// Suspect is true if the member failed to answer lately.
	Suspect bool
}

const (
	// crossZoneCost is the cost of a member in another availability zone: two network hops of about 1 ms each at
	// the users' sites, and the price of the traffic.
	crossZoneCost = 3 * time.Millisecond
	// primaryCost keeps reads off the primary, the only member that takes writes, unless the replicas are slower
	// than the primary by more than about the time of one statement.
	primaryCost = 12 * time.Millisecond
	// suspectCost ranks a member that failed to answer behind all others.
	suspectCost = time.Second
	// defaultLatency is assumed for a member without a sample. It is low, so that a new member gets statements.
	defaultLatency = 5 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average: the average spans about ten statements,
	// half a second of ordinary load.
	latencyWeight = 0.15
)

// Cost estimates how long a read takes on the member, and adds the penalties that keep reads off it. The member
// with the lowest cost is the best.
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

// UpdateLatency returns the moving average of the latency after another sample. A zero average means that there
// was no sample yet.
func UpdateLatency(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencyWeight*float64(sample-average))
}
