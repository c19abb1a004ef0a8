package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var testStart = time.UnixMilli(10_000)

// order returns the values in the order of service.
func order[T any](q *FairQueue[T], now time.Time) (out []T) {
	for e := range q.All(now) {
		out = append(out, e.Value)
	}
	return out
}

// Guards against serving every statement too late when statements arrive faster than a member runs them. While the
// oldest has waited too long, the newest goes first, but never before statements of a lower rank. Without accounts, the
// order is the one that the pool had before it used a FairQueue.
func TestOrderWithoutAccounts(t *testing.T) {
	now := testStart
	var q FairQueue[string]
	add := func(value string, rank int, ago time.Duration) {
		q.Push(value, Request{Rank: rank, ArrivedAt: now.Add(-ago)}, now)
	}
	add("label 2", 2, 30*ms)
	add("label 1", 2, 40*ms)
	add("save 1", 1, 10*ms)
	add("save 2", 1, 5*ms)
	if got, want := order(&q, now), []string{"save 1", "save 2", "label 1", "label 2"}; !slices.Equal(got, want) {
		t.Errorf("queue below the threshold is served as %v, want %v", got, want)
	}
	now = now.Add(lifoThreshold)
	if got, want := order(&q, now), []string{"save 2", "save 1", "label 2", "label 1"}; !slices.Equal(got, want) {
		t.Errorf("queue beyond the threshold is served as %v, want %v", got, want)
	}
}

// Guards against a large account whose statements delay those of others, and against one that gets less than its weight.
func TestAccountsShareSlotTime(t *testing.T) {
	var q FairQueue[string]
	now := testStart
	push := func(account string, weight float64, n int) {
		for range n {
			q.Push(account, Request{Account: account, Weight: weight, ArrivedAt: now}, now)
		}
	}
	push("chain", 3, 900)
	push("bakery", 1, 300)
	push("hotel", 1, 300)
	cost := map[string]time.Duration{"chain": 10 * ms, "bakery": 10 * ms, "hotel": 30 * ms}
	used := map[string]time.Duration{}
	for range 500 {
		for e := range q.All(now) {
			q.Served(e, now)
			q.Charge(e.Value, AnyMember, cost[e.Value])
			used[e.Value] += cost[e.Value]
			break
		}
	}
	if unit := used["bakery"]; used["chain"] < 3*unit-100*ms || used["chain"] > 3*unit+100*ms || used["hotel"] < unit-50*ms || used["hotel"] > unit+50*ms {
		t.Errorf("slot time used: %v, want chain 3, bakery 1, hotel 1", used)
	}
	// An account that comes later is not owed what others have used before, nor does it wait for those that have.
	push("canteen", 1, 20)
	first := order(&q, now)[:10]
	if n := len(slices.DeleteFunc(first, func(account string) bool { return account != "canteen" })); n < 1 || n > 4 {
		t.Errorf("%d of the next 10 statements are those of a new account, want 2", n)
	}
}

// Guards against an order of All that differs from the one in which an account at a time would be chosen.
func TestAllFollowsTags(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var q FairQueue[string]
	for i := range 400 {
		account := fmt.Sprint("a", random.IntN(40))
		q.Push(account, Request{Account: account, Weight: float64(1 + random.IntN(4)), ArrivedAt: testStart.Add(time.Duration(i))}, testStart)
		q.Charge(account, AnyMember, time.Duration(random.IntN(30))*ms)
	}
	tags := map[string]float64{}
	for name, a := range q.accounts {
		tags[name] = a.tag
	}
	last, n := 0.0, 0
	for e := range q.All(testStart) {
		if tags[e.Value] < last-1e-9 {
			t.Fatalf("statement %d has a tag of %g, after one of %g", n, tags[e.Value], last)
		}
		last = tags[e.Value]
		tags[e.Value] += q.cost() / q.accounts[e.Value].weight
		n++
	}
	if n != 400 {
		t.Errorf("%d statements listed, want 400", n)
	}
}

// Guards against a rank that is never served under steady overload, and against one that delays rank 0 before
// starvationLimit.
func TestNoRankStarves(t *testing.T) {
	var q FairQueue[int]
	var served []time.Duration
	for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
		now := testStart.Add(at)
		for _, rank := range []int{0, 0, 2} { // one statement per 10 ms is served
			q.Push(rank, Request{Rank: rank, ArrivedAt: now, WaitUntil: now.Add(350 * ms)}, now)
		}
		var expired []*Entry[int]
		for e := range q.All(now) {
			if e.Request.WaitUntil.Before(now) {
				expired = append(expired, e)
			}
		}
		for _, e := range expired {
			q.Remove(e, now)
		}
		for e := range q.All(now) {
			if q.Served(e, now); e.Value > 0 {
				served = append(served, at)
			}
			break
		}
	}
	if len(served) != 3 || served[0] < starvationLimit {
		t.Errorf("rank 2 was served after %v, want three times, first after %s", served, starvationLimit)
	}
}

// drainingQueue returns a queue of n statements that never are hopeless, from which 100 statements were served within the
// last second, and the time. Others have arrived at the given number per service.
func drainingQueue(n, arrivals int) (*FairQueue[int], time.Time) {
	var q FairQueue[int]
	now := testStart
	push := func(n int) {
		for range n {
			q.Push(0, Request{ArrivedAt: now}, now)
		}
	}
	push(n + 100*(1-arrivals))
	for range 100 {
		now = now.Add(10 * ms)
		push(arrivals)
		for e := range q.All(now) {
			q.Served(e, now)
			break
		}
	}
	for e := range q.All(now) {
		e.Request.ArrivedAt = now // so that the order is that of arrival
	}
	return &q, now
}

// Guards against refusals without a known rate, of what can be served, and of what keeps slots busy, and against statements
// that are kept although those of higher ranks will overtake them.
func TestHopeless(t *testing.T) {
	for _, c := range []struct {
		name                  string
		ahead, arrivals, rank int
		wait                  time.Duration
		hopeless              int
		correction            float64
	}{
		{"all in time", 30, 0, 0, 490 * ms, 0, 0},
		{"some in time", 30, 0, 0, 345 * ms, 15, 0}, // 30 to 34 are ahead of the first five
		{"none in time", 30, 0, 0, 200 * ms, 20, 0},
		{"predictions twice as long as waits", 30, 0, 0, 200 * ms, 9, 0.5}, // 30 to 40 are ahead of the first eleven
		{"first 50 ms of work", 0, 0, 0, ms, 14, 0},
		{"lower rank without arrivals", 30, 0, 1, 3 * time.Second, 0, 0},
		{"lower rank that is overtaken", 30, 1, 1, 3 * time.Second, 20, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, now := drainingQueue(c.ahead, c.arrivals)
			for i := range 20 {
				q.Push(i+1, Request{Rank: c.rank, ArrivedAt: now, WaitUntil: now.Add(c.wait)}, now)
			}
			q.drains[AnyMember].correction = c.correction
			got := q.Hopeless(now)
			if len(got) != c.hopeless || len(got) > 0 && got[0].Value != 20 {
				t.Errorf("%d statements are hopeless, want %d, the last one first", len(got), c.hopeless)
			}
		})
	}
	var unknown FairQueue[int]
	for range 1000 {
		unknown.Push(0, Request{ArrivedAt: testStart, WaitUntil: testStart.Add(ms)}, testStart)
	}
	if got := unknown.Hopeless(testStart); len(got) > 0 {
		t.Errorf("%d statements are hopeless at an unknown rate", len(got))
	}
}

// Guards against a prediction that stays wrong: a queue that is served ten times as fast as predicted shortens later
// predictions, and one that is empty too early makes the rate unknown.
func TestPredictionIsChecked(t *testing.T) {
	q, now := drainingQueue(30, 0)
	for range 20 {
		q.Push(0, Request{ArrivedAt: now, WaitUntil: now.Add(345 * ms)}, now)
	}
	for _, e := range q.Hopeless(now) {
		q.Remove(e, now)
	}
	for q.Len() > 0 {
		now = now.Add(ms)
		for e := range q.All(now) {
			if q.Served(e, now); q.Len() == 1 && q.drains[AnyMember].correction > 0.8 {
				t.Errorf("waits are corrected by %g", q.drains[AnyMember].correction)
			}
			break
		}
	}
	if rate := q.Rate(AnyMember, now); rate != 0 {
		t.Errorf("the rate is %g after the queue was empty in a tenth of the predicted time", rate)
	}
}

func BenchmarkFairQueue(b *testing.B) {
	for _, waiting := range []int{1, 100, 10_000} {
		for _, accounts := range []int{1, 80, 10_000} {
			b.Run(fmt.Sprintf("waiting=%d/accounts=%d", waiting, accounts), func(b *testing.B) { benchmarkService(b, waiting, accounts) })
		}
	}
}

// benchmarkService measures the arrival and service of a statement and the search for hopeless ones, at 1,000 per second.
func benchmarkService(b *testing.B, waiting, accounts int) {
	var q FairQueue[int]
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	now := testStart
	push := func(i int) {
		now = now.Add(ms)
		q.Push(i, Request{Account: names[i%accounts], ArrivedAt: now, WaitUntil: now.Add(1000 * time.Hour)}, now)
	}
	for i := range waiting {
		push(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		push(i)
		for e := range q.All(now) {
			q.Served(e, now)
			q.Charge(e.Request.Account, AnyMember, 10*ms)
			break
		}
		q.Hopeless(now)
	}
}
