package admission

import (
	"testing"
	"time"

	"pearlatch/core/config"
)

func fitsAny(string) bool { return true }

func TestQueueServesByPriorityThenArrival(t *testing.T) {
	q := NewQueue[string](10)
	now := time.Now()
	for _, v := range []struct {
		name string
		p    config.Priority
	}{{"l1", config.Low}, {"n1", config.Normal}, {"h1", config.High}, {"n2", config.Normal}, {"h2", config.High}} {
		if _, ok := q.Push(v.name, v.p, now); !ok {
			t.Fatal("the queue is full")
		}
	}
	if got := q.Ahead(config.High); got != 2 {
		t.Errorf("%d ahead of high, want 2", got)
	}
	if got := q.Ahead(config.Low); got != 5 {
		t.Errorf("%d ahead of low, want 5", got)
	}
	for _, want := range []string{"h1", "h2", "n1", "n2", "l1"} {
		if got := q.Pick(fitsAny); got.Value != want {
			t.Errorf("picked %s, want %s", got.Value, want)
		}
	}
}

// High-priority requests keep arriving, so that one is always in the queue. A
// low-priority request must still be served after a bounded number of picks.
func TestLowPriorityIsNotStarved(t *testing.T) {
	q := NewQueue[string](100)
	now := time.Now()
	q.Push("low", config.Low, now)
	for i := range reverseInterval + 1 {
		q.Push("high", config.High, now)
		if q.Pick(fitsAny).Value == "low" {
			return
		}
		if i > reverseInterval {
			break
		}
	}
	t.Error("low priority was never served")
}

func TestQueueIsBounded(t *testing.T) {
	q := NewQueue[string](1)
	w, ok := q.Push("a", config.High, time.Now())
	if _, full := q.Push("b", config.High, time.Now()); !ok || full {
		t.Fatal("the limit of the queue was not applied")
	}
	if !q.Remove(w) || q.Remove(w) || q.Len() != 0 {
		t.Error("the request was not removed exactly once")
	}
}

func TestPickSkipsRequestsThatDoNotFit(t *testing.T) {
	q := NewQueue[string](3)
	q.Push("a", config.Normal, time.Now())
	q.Push("b", config.Normal, time.Now())
	if got := q.Pick(func(v string) bool { return v == "b" }); got == nil || got.Value != "b" {
		t.Errorf("picked %v", got)
	}
	if got := q.Pick(func(string) bool { return false }); got != nil || q.Len() != 1 {
		t.Errorf("picked %v, %d left", got, q.Len())
	}
}

func TestWaitEstimator(t *testing.T) {
	var e WaitEstimator
	if e.ExpectedWait(10, 2) != 0 {
		t.Error("expected a wait of 0 without observations")
	}
	e.Observe(10 * time.Millisecond)
	if got := e.ExpectedWait(6, 3); got != 20*time.Millisecond {
		t.Errorf("ExpectedWait = %s, want 20ms", got)
	}
	for range 100 {
		e.Observe(20 * time.Millisecond)
	}
	if got := e.MeanHold(); got < 19*time.Millisecond || got > 20*time.Millisecond {
		t.Errorf("MeanHold = %s after many samples of 20ms", got)
	}
}
