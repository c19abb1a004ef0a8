package placement

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestCostOrdersMembers(t *testing.T) {
	near := Member{Latency: 10 * ms, SameZone: true}
	for _, c := range []struct {
		name          string
		better, worse Member
	}{
		{"the own zone", near, Member{Latency: 10 * ms}},
		{"an idle one elsewhere before a busy one here", Member{Latency: 10 * ms}, Member{Latency: 10 * ms, SameZone: true, Running: 1}},
		{"a replica before the primary", Member{Latency: 10 * ms}, Member{Latency: 10 * ms, SameZone: true, IsPrimary: true}},
		{"the primary before a replica with a queue", Member{Latency: 10 * ms, IsPrimary: true}, Member{Latency: 10 * ms, Running: 2}},
		{"any before one that did not answer", Member{Latency: 90 * ms, Running: 5}, Member{Latency: 5 * ms, SameZone: true, Suspect: true}},
		{"a new member is tried", Member{}, Member{Latency: 20 * ms}},
	} {
		if c.better.Cost() >= c.worse.Cost() {
			t.Errorf("%s: %s is not below %s", c.name, c.better.Cost(), c.worse.Cost())
		}
	}
}

func TestUpdateLatency(t *testing.T) {
	if got := UpdateLatency(0, 20*ms); got != 20*ms {
		t.Errorf("the first sample gave %s", got)
	}
	average := 10 * ms
	for range 40 {
		average = UpdateLatency(average, 50*ms)
	}
	if average < 49*ms || average > 50*ms {
		t.Errorf("after many samples of 50ms the average is %s", average)
	}
}
