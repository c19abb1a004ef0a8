package group

import (
	"testing"
	"time"
)

// lagging are two replicas that lag and could lead.
var lagging = []ReplicaUse{{Member: "b", Lagging: true, MayLead: true}, {Member: "c", Lagging: true, MayLead: true}}

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
		if d.Observe(PrimaryLoad{Replicas: lagging, Running: running, Slots: 2, Waits: 60}, at) {
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
	saturated := PrimaryLoad{Replicas: lagging, Running: 2, Slots: 2}
	for _, c := range []struct {
		name   string
		rounds []PrimaryLoad
		want   int
	}{
		{"saturated in two rounds", []PrimaryLoad{saturated, saturated}, 1},
		{"saturated in rounds that do not follow each other", []PrimaryLoad{saturated, {Replicas: lagging, Slots: 2}, saturated}, 0},
		{"replicas do not lag", []PrimaryLoad{{Running: 2, Slots: 2}, {Running: 2, Slots: 2}, {Running: 2, Slots: 2}}, 0},
		{"too few waits", []PrimaryLoad{{Replicas: lagging, Slots: 2, Waits: 3}, {Replicas: lagging, Slots: 2, Waits: 5}}, 0},
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

// A burst saturates the primary while its replicas can't be used, each for a cause of its own. Lag alone counted, so the
// primary carried all reads until the burst was over. It must be relieved within a second where another member could lead,
// and only while statements wait.
func TestUnusableReplicasRelievePrimary(t *testing.T) {
	behind := ReplicaUse{Member: "b", Behind: true, MayLead: true}
	lags := ReplicaUse{Member: "b", Lagging: true, MayLead: true}
	ok := ReplicaUse{Member: "b", MayLead: true}
	gone := ReplicaUse{Member: "c", Failed: true}
	fine := ReplicaUse{Member: "c", MayLead: true}
	for _, c := range []struct {
		name   string
		rounds [][]ReplicaUse
		waits  int
		want   int
	}{
		{"one lags, one does not answer", [][]ReplicaUse{{lags, gone}, {lags, gone}, {lags, gone}}, 9, 1},
		{"one refuses for lag, one does not answer", [][]ReplicaUse{{behind, gone}, {behind, gone}}, 9, 1},
		{"one lags, one flaps", [][]ReplicaUse{{lags, gone}, {lags, fine}, {lags, gone}, {lags, fine}}, 9, 1},
		{"one lags, one failed long ago", [][]ReplicaUse{{lags, gone}, {lags, fine}, {lags, fine}, {lags, fine}, {lags, fine}}, 9, 1},
		{"one lags, one is used", [][]ReplicaUse{{lags, fine}, {lags, fine}, {lags, fine}}, 9, 0},
		{"one is used, one does not answer", [][]ReplicaUse{{ok, gone}, {ok, gone}, {ok, gone}}, 9, 0},
		{"no statement waits", [][]ReplicaUse{{lags, gone}, {lags, gone}, {lags, gone}}, 0, 0},
		{"no member could lead", [][]ReplicaUse{{{Member: "b", Failed: true}, gone}, {{Member: "b", Failed: true}, gone}}, 9, 0},
		{"both flap in turn", [][]ReplicaUse{{{Member: "b", Failed: true}, fine}, {ok, gone}, {{Member: "b", Failed: true}, fine}, {ok, gone}}, 9, 0},
	} {
		var d OverloadDetector
		at, got := time.Unix(100, 0), 0
		for i, replicas := range c.rounds {
			if d.Observe(PrimaryLoad{Replicas: replicas, Running: 2, Slots: 2, Waits: c.waits}, at) {
				if got++; i != 1 {
					t.Errorf("%s: relieved in round %d, want round 1", c.name, i)
				}
			}
			at = at.Add(350 * time.Millisecond)
		}
		if got != c.want {
			t.Errorf("%s: relieved %d times, want %d", c.name, got, c.want)
		}
	}
}

// A switchover that takes longer than the overload is expected to last costs more than it saves, and one soon after another
// makes two members take turns as primary.
func TestReliefIsWorthItsInterruption(t *testing.T) {
	start := time.Unix(100, 0)
	load := func(interruption time.Duration, last time.Time) PrimaryLoad {
		return PrimaryLoad{Replicas: lagging, Running: 2, Slots: 2, Interruption: interruption, LastSwitchover: last}
	}
	relieved := func(d *OverloadDetector, l PrimaryLoad, at time.Time, rounds int) time.Duration {
		for i := range rounds {
			if after := time.Duration(i) * 350 * time.Millisecond; d.Observe(l, at.Add(after)) {
				return after
			}
		}
		return -1
	}
	var slow, fast, short, late, abandoned OverloadDetector
	if got := relieved(&slow, load(5*time.Second, time.Time{}), start, 10); got >= 0 {
		t.Errorf("relieved after %s by a switchover of 5 s", got)
	}
	if got := relieved(&fast, load(time.Second, time.Time{}), start, 10); got != 350*time.Millisecond {
		t.Errorf("relieved after %s, want 350ms", got)
	}
	for i := range 6 { // overloads that end by themselves after 350 ms
		at := start.Add(time.Duration(i) * 3 * time.Second)
		short.Observe(load(2*time.Second, time.Time{}), at)
		short.Observe(PrimaryLoad{Slots: 2}, at.Add(350*time.Millisecond))
	}
	if got := relieved(&short, load(time.Second, time.Time{}), start.Add(time.Minute), 3); got >= 0 {
		t.Errorf("relieved after %s although overloads are short", got)
	}
	if got := relieved(&late, load(time.Second, start.Add(-8*time.Second)), start, 10); got < 2*time.Second {
		t.Errorf("relieved %s after the start, and 8 s more after a switchover that another coordinator decided", got)
	}
	relieved(&abandoned, load(time.Second, time.Time{}), start, 2)
	abandoned.Abandon(start)
	if got := relieved(&abandoned, load(time.Second, start), start, 20); got < abandonedRetryDelay || got > abandonedRetryDelay+time.Second {
		t.Errorf("tried again %s after an abandoned switchover", got)
	}
}

// Guards against a switchover right after a failover: a replica is gone with the old primary, the other one still catches up
// with the new primary, and statements wait. The new primary was relieved 0.65 s after its promotion, in vain, and service
// stopped for a further 1.7 s.
func TestNoReliefSoonAfterAPromotion(t *testing.T) {
	var d OverloadDetector
	at := time.Unix(100, 0)
	d.Promoted(at)
	load := PrimaryLoad{Replicas: lagging, Running: 2, Slots: 2, Waits: 60}
	for range 20 {
		at = at.Add(350 * time.Millisecond)
		if d.Observe(load, at) {
			t.Fatalf("relieved %s after the promotion", at.Sub(time.Unix(100, 0)))
		}
	}
	if at = at.Add(minSwitchoverInterval); !d.Observe(load, at) {
		t.Error("never relieved")
	}
}
