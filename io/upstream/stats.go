package upstream

import "github.com/rcrowley/go-metrics"

// ownerStats holds the metrics of one group.
type ownerStats struct {
	replicaReads, primaryReads, writes metrics.Counter
	unknown, refused                   metrics.Counter
	promotions                         metrics.Counter
	confirmTime                        metrics.Timer
}

func newOwnerStats(r metrics.Registry, group string) ownerStats {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("group."+group+"."+name, r)
	}
	return ownerStats{
		replicaReads: counter("replica_reads"),
		primaryReads: counter("primary_reads"),
		writes:       counter("writes"),
		unknown:      counter("outcomes_unknown"),
		refused:      counter("refused"),
		promotions:   counter("promotions"),
		confirmTime:  metrics.GetOrRegisterTimer("group."+group+".confirm", r),
	}
}
