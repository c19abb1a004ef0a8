package load

import (
	"testing"
	"time"
)

// A queue of 20 statements is served at 200 per second. The report must state that rate, also if statements wait only a
// small part of the time, and the wait behind the statements of the same or a more important rank only.
func TestMeterReportsTheRateAndTheDelay(t *testing.T) {
	var m Meter
	now := start
	for round := range 5 {
		now = now.Add(500 * time.Millisecond) // without a queue
		for i := range 20 {
			m.Enqueued(Kind{Rank: i % 2 * 3}, now)
		}
		for i := range 15 {
			now = now.Add(5 * time.Millisecond)
			m.Left(Kind{Rank: i % 2 * 3}, true, now)
		}
		if round == 4 {
			break
		}
		for i := range 5 {
			m.Left(Kind{Rank: (i + 1) % 2 * 3}, false, now)
		}
	}
	first, _ := m.Report(Kind{}, 5, now)
	last, _ := m.Report(Kind{Rank: 3}, 5, now)
	if first.Rate < 190 || first.Rate > 210 {
		t.Errorf("rate %.0f, want 200", first.Rate)
	}
	if got := first.Delay.Round(time.Millisecond); first.Waiting != 5 || got != 10*time.Millisecond {
		t.Errorf("rank 0: %d waiting, delay %s, want 5, 10ms", first.Waiting, got)
	}
	if got := last.Delay.Round(time.Millisecond); got != 25*time.Millisecond {
		t.Errorf("rank 3: delay %s, want 25ms", got)
	}
}

// Statements that need the primary wait while reads are served at once by replicas. The rate at
// which reads are served must not hide the delay of the others.
func TestMeterKeepsPrimaryStatementsApart(t *testing.T) {
	var m Meter
	now, primary := start, Kind{NeedsPrimary: true}
	for range 50 {
		m.Enqueued(primary, now)
	}
	for range 20 {
		m.Enqueued(Kind{}, now)
		now = now.Add(5 * time.Millisecond)
		m.Left(Kind{}, true, now)
		now = now.Add(5 * time.Millisecond)
		m.Left(primary, true, now)
	}
	forPrimary, _ := m.Report(primary, 30, now)
	forReads, _ := m.Report(Kind{}, 30, now)
	if forPrimary.Delay < 290*time.Millisecond || forPrimary.Delay > 310*time.Millisecond {
		t.Errorf("delay for the primary %s, want 300ms", forPrimary.Delay)
	}
	if forReads.Delay < 140*time.Millisecond || forReads.Delay > 160*time.Millisecond {
		t.Errorf("delay %s of all, want 150ms", forReads.Delay)
	}
}

// While a primary is replaced nothing is served, and the rate before that says nothing about the rate after it. Nothing may
// be refused because of it.
func TestMeterForgetsTheRateInAGap(t *testing.T) {
	var m Meter
	now := start
	for range 40 {
		m.Enqueued(Kind{}, now)
	}
	for range 20 {
		now = now.Add(5 * time.Millisecond)
		m.Left(Kind{}, true, now)
	}
	if r, _ := m.Report(Kind{}, 20, now); r.Delay == 0 {
		t.Error("no delay is reported")
	}
	r, sequence := m.Report(Kind{}, 20, now.Add(maxServiceGap+time.Millisecond))
	if r.Rate != 0 || r.Delay != 0 || r.Waiting != 20 || sequence != 2 {
		t.Errorf("after a gap: %+v, sequence %d", r, sequence)
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
