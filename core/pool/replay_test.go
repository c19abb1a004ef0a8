package pool

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// replay runs statements of many accounts, whose sizes follow a Zipf distribution, on a host with few connections.
type replay struct {
	pool   *Pool
	random *rand.Rand
	now    time.Time
	// due holds what happens at later times, in milliseconds from now.
	due map[int64][]func()
	// opened counts connections and served statements.
	opened, served int
}

// after runs f after a time with an exponential distribution, or after exactly the mean.
func (r *replay) after(mean time.Duration, random bool, f func()) {
	if random {
		mean = time.Duration(r.random.ExpFloat64() * float64(mean))
	}
	at := r.now.Add(mean).UnixMilli() + 1
	r.due[at] = append(r.due[at], f)
}

// use runs a statement of 20 ms on a connection.
func (r *replay) use(c *Conn) {
	r.served++
	r.after(20*time.Millisecond, true, func() {
		c.Member().RecordSuccess()
		r.pool.Release(c, r.now)
	})
}

// actions carries out the pool's actions. Opening a connection takes 12 ms.
func (r *replay) actions() {
	for _, action := range r.pool.DrainActions() {
		switch action := action.(type) {
		case Assign:
			r.use(action.Conn)
		case Open:
			r.opened++
			r.after(12*time.Millisecond, false, func() { r.pool.Opened(r.pool.members[action.Member], action.Account, r.now) })
		case Close:
		}
	}
}

// opensPerStatement replays a minute of rate statements per second and returns how many connections are opened for each.
func opensPerStatement(accounts int, rate float64) float64 {
	r := &replay{pool: New(&fakeView{share: 19}), random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), due: map[int64][]func(){}}
	for _, id := range []string{"p", "r1", "r2"} {
		r.pool.Add(id, 5)
	}
	var sums []float64
	sum := 0.0
	for i := range accounts {
		sum += math.Pow(float64(i+1), -1.2)
		sums = append(sums, sum)
	}
	for i := range 60_000 {
		r.now = r.now.Add(time.Millisecond)
		if r.random.Float64() < rate/1000 {
			account, draw := 0, r.random.Float64()*sum
			for draw > sums[account] {
				account++
			}
			q := ConnRequest{Account: strconv.Itoa(account), PrimaryOnly: r.random.Float64() < 0.3, ArrivedAt: r.now}
			if c := r.pool.Take(q, r.now); c != nil {
				r.use(c)
			} else {
				r.pool.Enqueue(q, r.now)
			}
		}
		for _, f := range r.due[r.now.UnixMilli()] {
			f()
		}
		delete(r.due, r.now.UnixMilli())
		r.pool.Dispatch(r.now, false)
		if i%250 == 0 {
			r.pool.Trim(r.now, 3, func(*Member) int { return 5 })
		}
		r.actions()
	}
	return float64(r.opened) / float64(r.served)
}

// Opening a connection occupies a slot for about as long as a statement. A host that serves a group for others has
// connections for a part of the accounts only, and must not open one for every second statement.
func TestFewConnectionsAreOpenedForManyAccounts(t *testing.T) {
	for _, c := range []struct {
		accounts int
		rate     float64
		most     float64 // in brackets the result if unused connections are closed after a second
	}{
		{27, 45, 0.11},   // (0.38)
		{27, 120, 0.1},   // (0.18)
		{80, 45, 0.26},   // (0.49)
		{200, 100, 0.32}, // (0.36)
	} {
		if got := opensPerStatement(c.accounts, c.rate); got > c.most {
			t.Errorf("%d accounts, %.0f statements per second: %.3f connections are opened for each, want at most %.2f", c.accounts, c.rate, got, c.most)
		}
	}
}
