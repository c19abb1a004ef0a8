package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// callerLoad replays callers against a queue that is served at a constant rate after downFor, and that refuses a statement
// which it can't serve within a wait bound of 0.35 of the timeout.
type callerLoad struct {
	rate                     float64
	timeout, target, downFor time.Duration

	calendar                                  Calendar
	queued, served, gaveUp, attempts, retried int
	// maxRetries is the most retries within 25 ms.
	maxRetries int
}

type loadCaller struct {
	began, next time.Duration
	attempts    int
}

// run replays n callers that begin evenly spread over a time, until none is left.
func (l *callerLoad) run(n int, within time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	var callers []*loadCaller
	for i := range n {
		at := within * time.Duration(i) / time.Duration(n)
		callers = append(callers, &loadCaller{began: at, next: at})
	}
	credit := 0.0
	for at := time.Duration(0); len(callers)+l.queued > 0; at += ms {
		if credit = min(credit+l.rate*ms.Seconds(), 1); at >= l.downFor && credit >= 1 && l.queued > 0 {
			credit--
			l.queued--
			l.served++
		}
		if at%(25*ms) == 0 {
			l.retried = 0
		}
		callers = slices.DeleteFunc(callers, func(c *loadCaller) bool { return c.next <= at && l.arrive(c, at, random.Float64()) })
		l.maxRetries = max(l.maxRetries, l.retried)
	}
}

// arrive queues or refuses an attempt. It returns false if the caller will retry.
func (l *callerLoad) arrive(c *loadCaller, at time.Duration, random float64) bool {
	if c.attempts++; c.attempts > 1 {
		l.retried++
	}
	l.attempts++
	outage := max(0, l.downFor-at)
	if timeToServe(l.queued, l.rate)+outage <= time.Duration(0.35*float64(l.timeout)) {
		l.queued++
		return true
	}
	c.next = at + l.calendar.Book(time.UnixMilli(1_000_000).Add(at), Booking{
		Earliest: outage, Latest: LatestRetry(l.timeout, l.target, 0), Backlog: l.queued, Rate: l.rate, Random: random,
	})
	if c.attempts > retries || c.next-c.began > l.timeout {
		l.gaveUp++
		return true
	}
	return false
}

// Guards against refused callers that return together, and against callers that give up although there is capacity for
// them: 1,000 come within 100 ms to a member that serves 200 per second, 150 per second while it is away for 3 s, or 340
// per second for 3 s.
func TestRefusedCallersReturnWhenThereIsCapacity(t *testing.T) {
	l := callerLoad{rate: 200, timeout: 12 * time.Second, target: 250 * ms}
	l.run(1000, 100*ms)
	if l.gaveUp > 0 || l.attempts > 2000 || l.maxRetries > 10 {
		t.Errorf("burst of 100 ms: %d callers gave up, %d attempts, want no third one; up to %d retries in 25 ms, want 5", l.gaveUp, l.attempts, l.maxRetries)
	}
	l = callerLoad{rate: 200, timeout: 10 * time.Second, target: 1200 * ms, downFor: 3 * time.Second}
	l.run(600, 4*time.Second)
	if l.gaveUp > 0 || l.maxRetries > 10 {
		t.Errorf("outage: %d callers gave up, up to %d retries in 25 ms, want 5", l.gaveUp, l.maxRetries)
	}
	l = callerLoad{rate: 200, timeout: 10 * time.Second, target: 1200 * ms}
	l.run(1020, 3*time.Second)
	if l.gaveUp > 0 {
		t.Errorf("burst of 3 s: %d callers gave up", l.gaveUp)
	}
	// With a timeout of 1 s, only callers of the last second can use the time after the burst.
	l = callerLoad{rate: 200, timeout: time.Second, target: 200 * ms}
	l.run(1020, 3*time.Second)
	if l.served < 600 {
		t.Errorf("burst of 3 s with a timeout of 1 s: %d callers were served, want 600", l.served)
	}
}

// Guards against longer times than before where there is no overload, and against times that a caller can't use.
func TestRetryTimesAreBounded(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for _, c := range []struct {
		name     string
		b        Booking
		from, to time.Duration
	}{
		{"nothing known", Booking{Latest: time.Second}, 50 * ms, 75 * ms},
		{"idle queue", Booking{Latest: time.Second, Rate: 100}, 50 * ms, 75 * ms},
		{"behind a queue", Booking{Latest: time.Second, Rate: 100, Backlog: 30}, 275 * ms, 300 * ms},
		{"behind a queue too long", Booking{Latest: 400 * ms, Rate: 100, Backlog: 90}, 266 * ms, 400 * ms},
		{"outage", Booking{Latest: time.Second, Earliest: 600 * ms}, 600 * ms, 900 * ms},
		{"outage at a known rate", Booking{Latest: time.Second, Earliest: 600 * ms, Rate: 100}, 600 * ms, 650 * ms},
		{"behind a queue and an outage", Booking{Latest: 2 * time.Second, Earliest: 600 * ms, Rate: 100, Backlog: 30}, 875 * ms, 900 * ms},
		{"outage too long", Booking{Latest: 400 * ms, Earliest: time.Second}, 266 * ms, 400 * ms},
		{"no time left", Booking{}, 50 * ms, 75 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, random := range []float64{0, 0.5, 0.999} {
				var calendar Calendar
				c.b.Random = random
				if got := calendar.Book(now, c.b); got < c.from || got > c.to {
					t.Errorf("%s with random number %g, want %s to %s", got, random, c.from, c.to)
				}
			}
		})
	}
	if first, second := LatestRetry(time.Second, 200*ms, 0), LatestRetry(600*ms, 200*ms, 1); first != 400*ms || second != 400*ms {
		t.Errorf("latest retries after %s and %s, want 400ms", first, second)
	}
}

// Guards against lower ranks that take the room of rank 0.
func TestHigherRanksReturnFirst(t *testing.T) {
	var calendar Calendar
	now := time.UnixMilli(1_000_000)
	book := func(rank int) time.Duration {
		return calendar.Book(now, Booking{Rank: rank, Latest: 4 * time.Second, Rate: 100})
	}
	for range 100 {
		book(2)
	}
	if high, low := book(0), book(2); high > 75*ms || low < 900*ms {
		t.Errorf("rank 0 after %s, rank 2 after %s, want 50ms and 1s", high, low)
	}
}
