package group

import (
	"testing"
	"time"
)

// Eight callers read from a primary of two slots without a pause, while both replicas lag. Its statements take 5 ms, and
// at the moments of the questions it ran 1, 0, 0, 1, 1, 1, 0, 0, 1, 0, 0, 3 and 0 of them: it was never relieved, since only
// that moment counted, and a round without a full primary began the count anew. What settled it was a line of each round
// from a run on one processor, beside the callers that waited all the while.
func TestOverloadDetectedByQueuedStatements(t *testing.T) {
	var r OverloadDetector
	at := time.Unix(100, 0)
	for round, running := range []int{1, 0, 0, 1, 1, 1, 0, 0, 1, 0, 0, 3, 0} {
		if r.Observe(PrimaryLoad{ReplicasLagging: true, Running: running, Slots: 2, Waits: 60}, at) {
			if round != 1 {
				t.Errorf("relieved in round %d", round)
			}
			return
		}
		at = at.Add(350 * time.Millisecond)
	}
	t.Error("never relieved")
}

func TestOverloadDetector(t *testing.T) {
	full := PrimaryLoad{ReplicasLagging: true, Running: 2, Slots: 2}
	for _, c := range []struct {
		name   string
		rounds []PrimaryLoad
		want   int
	}{
		{"full in two rounds", []PrimaryLoad{full, full}, 1},
		{"full once", []PrimaryLoad{full, {ReplicasLagging: true, Slots: 2}, full}, 0},
		{"replicas are fresh", []PrimaryLoad{{Running: 2, Slots: 2}, {Running: 2, Slots: 2}, {Running: 2, Slots: 2}}, 0},
		{"a burst", []PrimaryLoad{{ReplicasLagging: true, Slots: 2, Waits: 3}, {ReplicasLagging: true, Slots: 2, Waits: 5}}, 0},
		{"not again at once", []PrimaryLoad{full, full, full, full, full}, 1},
	} {
		var r OverloadDetector
		at, got := time.Unix(100, 0), 0
		for _, l := range c.rounds {
			if r.Observe(l, at) {
				got++
			}
			at = at.Add(350 * time.Millisecond)
		}
		if got != c.want {
			t.Errorf("%s: relieved %d times, want %d", c.name, got, c.want)
		}
	}
}
