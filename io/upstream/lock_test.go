package upstream

import (
	"testing"
	"time"

	"pearlatch/core/config"
	"pearlatch/core/group"
)

// The previous owner says that it answers nothing any more, and this one serves
// at once. Later its control connection breaks, a third owner may come between,
// and it takes the lock again: the old word must not shorten the wait for the
// third one's lease, or a read under that lease could miss a write.
func TestPredecessorReleaseAppliesToOneLeadership(t *testing.T) {
	o := &Owner{
		options: Options{Group: config.Group{Timing: config.DefaultTiming()}},
		samples: make([]group.Sample, 1), sampleConns: make([]uint64, 1), unansweredSince: make([]time.Time, 1),
		connRefused: make([]bool, 1), leaving: make([]bool, 1), wakeup: make(chan struct{}, 1),
	}
	now := time.Now()
	take := func(conn uint64) time.Time {
		t.Helper()
		if err := o.beginLeadership(group.Sample{SentAt: now, ReceivedAt: now}, conn, 0, 0, o.ackTime(now)); err != nil {
			t.Fatal(err)
		}
		return o.leadership.ackAfter
	}
	wait := o.leaseExpiry(now)
	if got := take(1); !got.Equal(wait) {
		t.Errorf("without a word: acknowledges after %s", got.Sub(now))
	}
	o.sampleConns[0] = 2 // the control connection was opened anew
	o.PredecessorReleased()
	if got := take(2); !got.Equal(now) {
		t.Errorf("after the word: acknowledges after %s", got.Sub(now))
	}
	o.PredecessorReleased() // arrives late: the lock is held already
	if !o.leadership.ackAfter.IsZero() {
		t.Error("a late word did not end the wait")
	}
	if got := take(3); !got.Equal(wait) {
		t.Errorf("in the next reign: acknowledges after %s", got.Sub(now))
	}
}
