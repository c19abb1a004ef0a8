package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// callerLoad replays callers against a queue that is served at a constant rate, and that refuses a statement which it
// can't serve within a wait bound of 0.35 of the timeout.
type callerLoad struct {
	calendar        Calendar
	rate            float64
	timeout, target time.Duration
	// down returns how much longer an outage lasts after the given time since the start.
	down func(time.Duration) time.Duration

	start          time.Time
	queue          []*loadCaller
	credit         float64
	served, gaveUp int
	maxArrivals    int
	attempts       int
}

type loadCaller struct {
	began    time.Duration
	attempts int
	next     time.Duration
}

// run replays callers that begin at the given times and returns once all have ended.
func (l *callerLoad) run(begins []time.Duration) {
	l.start = time.UnixMilli(1_000_000)
	random := rand.New(rand.NewPCG(1, 2))
	var waiting []*loadCaller
	for _, at := range begins {
		waiting = append(waiting, &loadCaller{began: at, next: at})
	}
	for at := time.Duration(0); len(waiting)+len(l.queue) > 0; at += ms {
		l.serve(at)
		kept, arrivals := waiting[:0], 0
		for _, c := range waiting {
			if c.next > at {
				kept = append(kept, c)
				continue
			}
			arrivals++
			if l.arrive(c, at, random.Float64()) {
				kept = append(kept, c)
			}
		}
		waiting, l.maxArrivals = kept, max(l.maxArrivals, arrivals)
	}
}

func (l *callerLoad) serve(at time.Duration) {
	if l.down != nil && l.down(at) > 0 {
		return
	}
	l.credit = min(l.credit+l.rate*ms.Seconds(), 1)
	if len(l.queue) > 0 && l.credit >= 1 {
		l.credit--
		l.queue = l.queue[1:]
		l.served++
	}
}

// arrive queues an attempt, or refuses it. It returns true if the caller will retry.
func (l *callerLoad) arrive(c *loadCaller, at time.Duration, random float64) bool {
	c.attempts++
	l.attempts++
	var outage time.Duration
	if l.down != nil {
		outage = l.down(at)
	}
	bound := time.Duration(0.35 * float64(l.timeout))
	if time.Duration(float64(len(l.queue))/l.rate*float64(time.Second))+outage <= bound {
		l.queue = append(l.queue, c)
		return false
	}
	after := l.calendar.Book(l.start.Add(at), Booking{
		Earliest: outage, Latest: LatestRetry(l.timeout, l.target, 0), Backlog: len(l.queue), Rate: l.rate, Random: random,
	})
	if c.next = at + after; c.attempts > retries || c.next-c.began > l.timeout {
		l.gaveUp++
		return false
	}
	return true
}

func evenly(n int, within time.Duration) (out []time.Duration) {
	for i := range n {
		out = append(out, within*time.Duration(i)/time.Duration(n))
	}
	return out
}

// Guards against refused callers that return together: 1,000 callers come within 100 ms to a member that serves 200 per
// second. All are served by their second attempt, and the second attempts come at the rate of service.
func TestRefusedCallersReturnAtTheRateOfService(t *testing.T) {
	l := callerLoad{rate: 200, timeout: 12 * time.Second, target: 250 * ms}
	l.run(evenly(1000, 100*ms))
	if l.gaveUp > 0 || l.attempts > 2000 {
		t.Errorf("%d callers gave up, %d attempts", l.gaveUp, l.attempts)
	}
}

// Guards against callers that use up their attempts during an outage, or return all together when it ends.
func TestCallersOutlastAnOutage(t *testing.T) {
	l := callerLoad{rate: 200, timeout: 10 * time.Second, target: 1200 * ms}
	l.down = func(at time.Duration) time.Duration { return max(0, 3*time.Second-at) }
	l.run(evenly(600, 4*time.Second)) // 150 per second, of which 450 come during the outage
	if l.gaveUp > 0 || l.maxArrivals > 25 {
		t.Errorf("%d callers gave up, up to %d arrived within a millisecond", l.gaveUp, l.maxArrivals)
	}
}

// Guards against callers that give up in a burst although there is capacity for them after it: 340 per second come for
// three seconds to a member that serves 200.
func TestCallersOutlastABurst(t *testing.T) {
	l := callerLoad{rate: 200, timeout: 10 * time.Second, target: 1200 * ms}
	l.run(evenly(1020, 3*time.Second))
	if l.gaveUp > 0 {
		t.Errorf("%d callers gave up", l.gaveUp)
	}
	// With a timeout of 1 s, the callers of the last second alone can use the time after the burst. The member must not
	// be idle before.
	l = callerLoad{rate: 200, timeout: time.Second, target: 200 * ms}
	l.run(evenly(1020, 3*time.Second))
	if l.served < 600 {
		t.Errorf("%d callers were served, want 600", l.served)
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
