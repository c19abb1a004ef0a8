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
		{"same zone before another zone", near, Member{Latency: 10 * ms}},
		{"idle member in another zone before a busy one in this zone", Member{Latency: 10 * ms}, Member{Latency: 10 * ms, SameZone: true, Running: 1}},
		{"replica before the primary", Member{Latency: 10 * ms}, Member{Latency: 10 * ms, SameZone: true, IsPrimary: true}},
		{"primary before a replica with a queue", Member{Latency: 10 * ms, IsPrimary: true}, Member{Latency: 10 * ms, Running: 2}},
		{"any member before a suspect one", Member{Latency: 90 * ms, Running: 5}, Member{Latency: 5 * ms, SameZone: true, Suspect: true}},
		{"new member before a slow one", Member{}, Member{Latency: 20 * ms}},
	} {
		if c.better.Cost() >= c.worse.Cost() {
			t.Errorf("%s: %s is not below %s", c.name, c.better.Cost(), c.worse.Cost())
		}
	}
}

func TestUpdateLatency(t *testing.T) {
	if got := UpdateLatency(0, 20*ms); got != 20*ms {
		t.Errorf("average %s after the first sample", got)
	}
	average := 10 * ms
	for range 40 {
		average = UpdateLatency(average, 50*ms)
	}
	if average < 49*ms || average > 50*ms {
		t.Errorf("average %s after 40 samples of 50ms", average)
	}
}
