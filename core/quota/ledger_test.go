package quota

import (
	"math"
	"testing"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/leadership"
)

const ms = time.Millisecond

var (
	t0      = time.UnixMilli(1_000_000)
	quota40 = account.Quota{Rate: 40, Burst: 40}
	// noTolerance is a tolerance of nothing.
	noTolerance = Tolerance{Window: 5 * time.Second}
)

// newTestGranter returns the ledger of a granter that has heard of all these hosts at t0.
func newTestGranter(terms Tolerance, hosts ...string) *Granter {
	l := NewGranter(5, terms, t0, hosts, nil)
	for _, h := range hosts {
		l.RecordReport(h, h+".1", nil, t0)
	}
	return l
}

// requestID counts the questions of these tests.
var requestID uint64

// requestAccount asks for an account with the quota forty.
func requestAccount(t *testing.T, l *Granter, host string, at time.Time, q AccountRequest) Grant {
	t.Helper()
	q.Account, q.Quota = "a", quota40
	requestID++
	out, ok := l.HandleRequest(host, host+".1", Request{ID: requestID, Token: 5, Accounts: []AccountRequest{q}}, at)
	if !ok {
		t.Fatalf("%s got no answer", host)
	}
	return out.Grants[0]
}

// Who takes tokens from another granter, or has not told what it holds, gets nothing: it may hold what this
// granter does not know.
func TestGranterAnswersOnlyItsFollowers(t *testing.T) {
	l := newTestGranter(noTolerance, "h1")
	l.AddHosts("h2")
	questions := []AccountRequest{{Account: "a", Quota: quota40, Waiting: 1}}
	for i, c := range []struct {
		what, host, process string
		token               int64
		at                  time.Time
		want                bool
	}{
		{"a follower", "h1", "h1.1", 5, t0, true},
		{"a follower of an earlier granter", "h1", "h1.1", 4, t0, false},
		{"a follower of a later granter", "h1", "h1.1", 6, t0, false},
		{"another process of the host", "h1", "h1.2", 5, t0, false},
		{"a host that has told nothing", "h2", "h2.1", 5, t0, false},
		{"a host that no successor would ask", "h3", "h3.1", 5, t0, false},
		{"a follower after the granter's time", "h1", "h1.1", 5, t0.Add(PortionTTL), false},
	} {
		if _, ok := l.HandleRequest(c.host, c.process, Request{ID: uint64(i + 1), Token: c.token, Accounts: questions}, c.at); ok != c.want {
			t.Errorf("%s: answered %v", c.what, ok)
		}
	}
}

// A host has most of the quota, and its callers leave. The granter offers it less, but the answer gets lost: the
// host goes on with what it had. Until it shows that it knows, nobody else may get the difference.
func TestPortionCountsUntilTheHostKnowsOfASmallerOne(t *testing.T) {
	l := newTestGranter(noTolerance, "h1", "h2", "h3")
	bursty := account.Quota{Rate: 40, Burst: 400}
	askOf := func(host string, at time.Time, holding uint64, demand float64) Grant {
		requestID++
		in := Request{ID: requestID, Token: 5, Accounts: []AccountRequest{{Account: "a", Quota: bursty, HeldSerial: holding, Demand: demand}}}
		out, ok := l.HandleRequest(host, host+".1", in, at)
		if !ok {
			t.Fatalf("%s got no answer", host)
		}
		return out.Grants[0]
	}
	big, third := askOf("h1", t0, 0, 30), askOf("h3", t0, 0, 30)
	askOf("h1", t0.Add(time.Second), big.Serial, 0) // the answer, with next to nothing, gets lost
	other := askOf("h2", t0.Add(time.Second), 0, 30)
	if sum := big.Rate + third.Rate + other.Rate; sum > portionRateFraction*bursty.Rate+0.001 {
		t.Errorf("three hosts hold %.1f of %.0f a second", sum, bursty.Rate)
	}
	small := askOf("h1", t0.Add(2*time.Second), big.Serial, 0)
	askOf("h1", t0.Add(3*time.Second), small.Serial, 0) // it came
	if other = askOf("h2", t0.Add(3*time.Second), other.Serial, 30); other.Rate < portionRateFraction*bursty.Rate-third.Rate-0.001 {
		t.Errorf("the other host got %.1f a second of what is free", other.Rate)
	}
}

// A host's questions arrive, and no answer comes back: it can't know that its portions are to sleep on, and they
// wake. The granter must count on that, and hand out only the rest.
func TestPortionActivatesWhenResponsesAreLost(t *testing.T) {
	l := newTestGranter(noTolerance, "h1", "h2")
	say := func(heard uint64, at time.Time) (uint64, Response) {
		requestID++
		q := []AccountRequest{{Account: "a", Quota: quota40, Demand: 20}}
		out, ok := l.HandleRequest("h1", "h1.1", Request{ID: requestID, LastAnswered: heard, Token: 5, Accounts: q}, at)
		if !ok {
			t.Fatal("no answer")
		}
		return requestID, out
	}
	first, answer := say(0, t0)
	at := t0.Add(800 * ms)
	say(first, at)                 // the first answer came, and no other one will
	for l.pools["a"].tokens >= 1 { // the burst is used up
		requestAccount(t, l, "h2", at, AccountRequest{Waiting: 40})
	}
	got := 0
	for range 50 {
		at = at.Add(100 * ms)
		l.Extend(at)
		say(first, at)
		got += requestAccount(t, l, "h2", at, AccountRequest{Waiting: 40}).Tokens
	}
	// The host counts from its first question, and wakes 2.4 s after it: here 1.6 s after the burst was used up.
	if rate := answer.Grants[0].Rate; got > 40*5-int(rate*3.4) || rate < 10 {
		t.Errorf("%d tokens were handed out in 5 s beside a portion of %.0f a second that sleeps for 1.6", got, rate)
	}
}

// A host is cut off, and its tokens gather. Callers elsewhere find the burst less what may have gathered there.
func TestBurstExcludesTokensOfUnreachableHost(t *testing.T) {
	l := newTestGranter(noTolerance, "h1", "h2")
	cut := requestAccount(t, l, "h1", t0, AccountRequest{Demand: 20})
	at := t0.Add(10 * time.Second)
	l.Extend(at)
	if g := requestAccount(t, l, "h2", at, AccountRequest{Waiting: 100}); float64(g.Tokens) > quota40.Burst-cut.Cap || cut.Cap < 8 {
		t.Errorf("%d tokens at once beside %.0f that may have gathered with a host, the burst is 40", g.Tokens, cut.Cap)
	}
}

// A question comes late, after a later one of the same host. What it says that the host holds holds no more.
func TestLateRequestsAreNotAnswered(t *testing.T) {
	l := newTestGranter(noTolerance, "h1")
	q := []AccountRequest{{Account: "a", Quota: quota40, Demand: 5}}
	if _, ok := l.HandleRequest("h1", "h1.1", Request{ID: 8, Token: 5, Accounts: q}, t0); !ok {
		t.Fatal("no answer")
	}
	if _, ok := l.HandleRequest("h1", "h1.1", Request{ID: 7, Token: 5, Accounts: q}, t0.Add(ms)); ok {
		t.Error("the late question was answered")
	}
}

// The duty of a granter was taken away early, and its holder does not know. Callers on its side of a cut are served
// on what its followers hold. Its successor has not heard of them: until the one before must have noticed, it hands
// out what its own followers hold, and only then what nobody holds.
func TestTwoGrantersStayWithinTheQuota(t *testing.T) {
	old := newTestGranter(noTolerance, "h1", "h2", "h3")
	for _, host := range []string{"h1", "h2"} {
		requestAccount(t, old, host, t0, AccountRequest{Demand: 10})
	}
	holds := old.pools["a"].portions["h2"].offered
	now := t0.Add(time.Second)
	next := NewGranter(5, noTolerance, now, []string{"h1", "h2", "h3"}, []string{"h3"})
	next.RecordReport("h2", "h2.1", []Holding{{"a", holds, 10 * time.Second}}, now)
	held := holds.Rate
	for _, c := range []struct {
		after time.Duration
		scope distributionScope
		rate  float64
	}{
		{0, scopeFollowers, 0},
		{assumeActiveAfter + 100*ms, scopeFollowers, held},
		{leadership.DutyValidity + 2*maxClockDrift, scopeUnreserved, (1-portionRateFraction)*quota40.Rate + held},
		{leadership.DutyValidity + 5*time.Second, scopeUnreserved, (1-portionRateFraction)*quota40.Rate + held},
		{PortionTTL + maxClockDrift, scopeEntire, 0},
	} {
		at := now.Add(c.after)
		next.Extend(at)
		for i := range 2 { // the second question shows that the first was answered
			requestID++
			q := []AccountRequest{{Account: "a", Quota: quota40, HeldSerial: holds.Serial}}
			if _, ok := next.HandleRequest("h2", "h2.1", Request{ID: requestID, LastAnswered: requestID - 1, Token: 5, Accounts: q}, at.Add(time.Duration(i)*ms)); !ok {
				t.Fatal("no answer")
			}
		}
		if got := next.pools["a"].refillRate(next.scope); next.scope != c.scope || math.Abs(got-c.rate) > 0.01 && c.scope != scopeEntire {
			t.Errorf("%s after it began: scope %d, %.1f a second, want %d and %.1f", c.after, next.scope, got, c.scope, c.rate)
		}
	}
	// The old one, meanwhile, no longer counts on its duty.
	requestAccount(t, old, "h1", now.Add(time.Second), AccountRequest{Demand: 10, HeldSerial: 1})
	if got := old.pools["a"].refillRate(old.scope); old.scope != scopeFollowers || got > portionRateFraction*quota40.Rate-held {
		t.Errorf("the granter before hands out %.1f a second in scope %d beside %.1f that its successor's followers hold", got, old.scope, held)
	}
}

// All hosts lost power, and one of them does not come back. The new granter need not wait until that one's portions
// must have ended: it does not hold what hosts never hold.
func TestCallersAreServedWhileAHostIsLost(t *testing.T) {
	l := NewGranter(5, noTolerance, t0, []string{"h1", "h2"}, []string{"h1"})
	l.RecordReport("h1", "h1.2", nil, t0)
	got := 0
	for at := t0; !at.After(t0.Add(5 * time.Second)); at = at.Add(100 * ms) {
		l.Extend(at)
		requestID++
		in := Request{ID: requestID, Token: 5, Accounts: []AccountRequest{{Account: "a", Quota: quota40, Waiting: 5}}}
		if out, ok := l.HandleRequest("h1", "h1.2", in, at); ok {
			got += out.Grants[0].Tokens
		}
	}
	if want := int((1 - perHostFraction) * quota40.Rate * 5); got < want-2 || got > want {
		t.Errorf("%d tokens were handed out in 5 s, want %d", got, want)
	}
}

// Callers come to a host for the first time while the quota is not used: they get their tokens at once, and the host a
// portion that follows their demand, as the one of another host shrinks.
func TestPortionsFollowDemand(t *testing.T) {
	l := newTestGranter(noTolerance, "h1", "h2")
	serials := map[string]uint64{}
	rates := map[string]float64{}
	step := func(at time.Time, host string, demand float64) Grant {
		g := requestAccount(t, l, host, at, AccountRequest{HeldSerial: serials[host], Demand: demand, Waiting: 1, Prefetch: 2})
		serials[host], rates[host] = g.Serial, g.Rate
		return g
	}
	at := t0.Add(2 * time.Second)
	l.Extend(at)
	if g := step(at, "h1", 1); g.Tokens < 1 {
		t.Errorf("the first caller got %d tokens", g.Tokens)
	}
	for _, c := range []struct{ busy, rests string }{{"h1", "h2"}, {"h2", "h1"}} {
		for range 5 {
			at = at.Add(adaptInterval)
			step(at, c.busy, 10)
			step(at, c.rests, 1)
		}
		if rates[c.busy] < 10 || rates[c.rests] > 2 {
			t.Errorf("portions %v, of a demand of 10 at %s and 1 at %s", rates, c.busy, c.rests)
		}
	}
}

// Callers ask for more than the quota. What they get in the long run is the quota, and they are told when to come
// back.
func TestDemandAboveTheQuota(t *testing.T) {
	l := newTestGranter(noTolerance, "h1")
	s := NewShard()
	s.Follow(5)
	began := 0
	var after time.Duration
	for at := t0; at.Before(t0.Add(20 * time.Second)); at = at.Add(10 * ms) {
		l.Extend(at)
		v, later := s.Begin("a", quota40, at)
		if v == AskGranter {
			s.AddWaiter("a")
			if in, ok := s.NextRequest(at); ok {
				answer, _ := l.HandleRequest("h1", "h1.1", in, at)
				s.HandleResponse(in.ID, 5, answer, at)
			}
			v, later = s.RemoveWaiter("a", at)
		}
		if v == Admitted {
			began++
		} else {
			after = max(after, later)
		}
	}
	if began < 20*40*95/100 || began > 20*40+40 {
		t.Errorf("%d operations began in 20 s, the quota is %d and a burst of 40", began, 20*40)
	}
	if after <= 0 || after > maxRetryAfter {
		t.Errorf("a refused caller was told to come back after %s", after)
	}
}

// The quota is lowered, and the host does not reach the granter: its portion shrinks all the same.
func TestLoweredQuotaShrinksThePortion(t *testing.T) {
	var b Bucket
	b.applyGrant(Grant{Serial: 1, Rate: 20, Cap: 10, TTL: PortionTTL}, t0, t0, t0)
	b.scaleDown(quota40, account.Quota{Rate: 10, Burst: 10}, t0.Add(time.Second), t0)
	if p := b.portion; p.Rate != 5 || p.Cap != 2.5 || b.tokens != 2.5 {
		t.Errorf("portion %+v, %.1f tokens", p, b.tokens)
	}
	b.scaleDown(account.Quota{Rate: 10, Burst: 10}, quota40, t0.Add(time.Second), t0)
	if p := b.portion; p.Rate != 5 {
		t.Errorf("portion %+v after the quota was raised: the granter gives more, if there is more", p)
	}
}

// The account has rested, and its callers come back to two hosts at the same moment. What both had kept, and
// what the granter hands out then, is no more than the burst.
func TestBurstAfterIdlePeriodStaysWithinTheQuota(t *testing.T) {
	l := newTestGranter(noTolerance, "h1", "h2")
	shards := map[string]*Shard{"h1": NewShard(), "h2": NewShard()}
	inquire := func(host string, at time.Time) {
		s := shards[host]
		in, ok := s.NextRequest(at)
		if !ok {
			return
		}
		answer, _ := l.HandleRequest(host, host+".1", in, at)
		s.HandleResponse(in.ID, 5, answer, at)
	}
	at := t0
	for host, s := range shards {
		s.Follow(5)
		for range 40 {
			at = at.Add(25 * ms)
			l.Extend(at)
			s.Begin("a", quota40, at)
			inquire(host, at)
		}
	}
	for range 5 { // portions shrink, and the granter hears that they have
		at = at.Add(refreshInterval)
		l.Extend(at)
		for host := range shards {
			inquire(host, at)
		}
	}
	at = at.Add(time.Second)
	l.Extend(at)
	begin := func(host string) bool {
		s := shards[host]
		v, _ := s.Begin("a", quota40, at)
		if v == AskGranter {
			s.AddWaiter("a")
			inquire(host, at)
			v, _ = s.RemoveWaiter("a", at)
		}
		return v == Admitted
	}
	began := 0
	for range 40 {
		for host := range shards {
			if begin(host) {
				began++
			}
		}
	}
	if began > 40 || began < 35 {
		t.Errorf("%d operations began at once, the burst is 40", began)
	}
}
