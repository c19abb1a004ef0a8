package group

import (
	"testing"
	"time"
)

// Guards against an overloaded primary that is never replaced because probes
// find it idle. Eight clients read without a pause from a primary with two
// slots while both replicas lag. Statements take 5 ms, and the probes found 1,
// 0, 0, 1, 1, 1, 0, 0, 1, 0, 0, 3 and 0 of them running. When only these
// numbers counted, each round below the limit reset the count of overloaded
// rounds, although statements were waiting all the time. The fault was seen on
// a machine with one processor.
func TestOverloadDetectedByQueuedStatements(t *testing.T) {
	var d OverloadDetector
	at := time.Unix(100, 0)
	for round, running := range []int{1, 0, 0, 1, 1, 1, 0, 0, 1, 0, 0, 3, 0} {
		if d.Observe(PrimaryLoad{ReplicasLagging: true, Running: running, Slots: 2, Waits: 60}, at) {
			if round != 1 {
				t.Errorf("overload reported in round %d, want round 1", round)
			}
			return
		}
		at = at.Add(350 * time.Millisecond)
	}
	t.Error("overload never reported")
}

func TestOverloadDetector(t *testing.T) {
	saturated := PrimaryLoad{ReplicasLagging: true, Running: 2, Slots: 2}
	for _, c := range []struct {
		name   string
		rounds []PrimaryLoad
		want   int
	}{
		{"saturated in two rounds", []PrimaryLoad{saturated, saturated}, 1},
		{"saturated in rounds that do not follow each other", []PrimaryLoad{saturated, {ReplicasLagging: true, Slots: 2}, saturated}, 0},
		{"replicas do not lag", []PrimaryLoad{{Running: 2, Slots: 2}, {Running: 2, Slots: 2}, {Running: 2, Slots: 2}}, 0},
		{"too few waits", []PrimaryLoad{{ReplicasLagging: true, Slots: 2, Waits: 3}, {ReplicasLagging: true, Slots: 2, Waits: 5}}, 0},
		{"not again within the interval", []PrimaryLoad{saturated, saturated, saturated, saturated, saturated}, 1},
	} {
		var d OverloadDetector
		at, got := time.Unix(100, 0), 0
		for _, l := range c.rounds {
			if d.Observe(l, at) {
				got++
			}
			at = at.Add(350 * time.Millisecond)
		}
		if got != c.want {
			t.Errorf("%s: overload reported %d times, want %d", c.name, got, c.want)
		}
	}
}
