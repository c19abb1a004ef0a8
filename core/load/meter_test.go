package load

import (
	"testing"
	"time"
)

// drainQueue has n statements of the kind wait and serves one each 5 ms. It returns the time of the last service.
func drainQueue(m *Meter, k Kind, n, served int, now time.Time) time.Time {
	for range n {
		m.Enqueued(k, now)
	}
	for range served {
		now = now.Add(5 * time.Millisecond)
		m.Left(k, true, now)
	}
	return now
}

// Queues are served at 200 per second. The report must state that rate, also if statements wait only a small part of the
// time, and a wait behind the statements of the same or a more important rank only. In a gap without services, as while a
// primary is replaced, nothing is known: nothing may be refused because of the rate before it.
func TestMeterReportsTheRateAndTheDelay(t *testing.T) {
	var m Meter
	now := start
	for range 4 {
		now = drainQueue(&m, Kind{}, 20, 20, now.Add(500*time.Millisecond))
	}
	now = drainQueue(&m, Kind{Rank: 3}, 30, 10, now.Add(500*time.Millisecond))
	now = drainQueue(&m, Kind{}, 10, 0, now)
	first, _ := m.Report(Kind{}, 30, now)
	last, _ := m.Report(Kind{Rank: 3}, 30, now)
	if first.Waiting != 30 || first.Rate < 190 || first.Rate > 210 {
		t.Errorf("%d waiting, rate %.0f, want 30, 200", first.Waiting, first.Rate)
	}
	if a, b := first.Delay.Round(5*time.Millisecond), last.Delay.Round(5*time.Millisecond); a != 50*time.Millisecond || b != 150*time.Millisecond {
		t.Errorf("delay of rank 0 %s, of rank 3 %s, want 50ms, 150ms", a, b)
	}
	r, sequence := m.Report(Kind{}, 30, now.Add(maxServiceGap+time.Millisecond))
	if r.Rate != 0 || r.Delay != 0 || r.Waiting != 30 || sequence != 3 {
		t.Errorf("after a gap: %+v, sequence %d", r, sequence)
	}
}

// Statements that need the primary wait while reads are served soon by replicas. The rate at which reads are served must not
// hide the delay of the others.
func TestMeterKeepsPrimaryStatementsApart(t *testing.T) {
	var m Meter
	now, primary := start, Kind{NeedsPrimary: true}
	drainQueue(&m, primary, 50, 0, now)
	for range 20 {
		now = drainQueue(&m, Kind{}, 1, 1, now)
		now = drainQueue(&m, primary, 0, 1, now)
	}
	if r, _ := m.Report(primary, 30, now); r.Delay.Round(20*time.Millisecond) != 300*time.Millisecond {
		t.Errorf("delay for the primary %s, want 300ms", r.Delay)
	}
}

// Reports cost bytes and are sent only while statements wait, and for reportTTL after that. A caller of the meter that
// misses a statement's end must not make it report a queue for ever.
func TestMeterReportsOnlyQueues(t *testing.T) {
	var m Meter
	if _, sequence := m.Report(Kind{}, 0, start); sequence != 0 {
		t.Error("a report without a queue")
	}
	m.Enqueued(Kind{}, start)
	now := start.Add(10 * time.Millisecond)
	if r, sequence := m.Report(Kind{}, 0, now); sequence == 0 || r.Waiting != 0 {
		t.Errorf("after a queue: %+v, sequence %d", r, sequence)
	}
	if _, sequence := m.Report(Kind{}, 0, now.Add(reportTTL+1)); sequence != 0 {
		t.Error("a report long after a queue")
	}
}
