package quota

import (
	"math"
	"testing"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/leadership"
	"pearlatch/core/quota/share"
	"pearlatch/core/quota/waiting"
)

const ms = time.Millisecond

var (
	t0      = time.UnixMilli(1_000_000)
	quota40 = account.Quota{Rate: 40, Burst: 40}
	// noTolerance allows nothing beyond the quota.
	noTolerance = Tolerance{Window: 5 * time.Second}
)

// newTestGranter returns a granter with fencing token 5 to which process 1 of each host has reported, at t0.
func newTestGranter(tolerance Tolerance, hosts ...string) *Granter {
	g := NewGranter(5, tolerance, t0, hosts, nil)
	for _, h := range hosts {
		g.RecordReport(h, h+".1", nil, t0)
	}
	return g
}

// requestID is the ID of the last request sent by the tests.
var requestID uint64

// requestAccount sends a request for account "a" with quota40.
func requestAccount(t *testing.T, g *Granter, host string, at time.Time, q AccountRequest) Grant {
	t.Helper()
	q.Account, q.Quota = "a", quota40
	requestID++
	out, ok := g.HandleRequest(host, host+".1", Request{ID: requestID, FencingToken: 5, Accounts: []AccountRequest{q}}, at)
	if !ok {
		t.Fatalf("%s got no response", host)
	}
	return out.Grants[0]
}

// A host that follows another granter, or has not reported its holdings, gets nothing: it may hold tokens that this
// granter does not know of.
func TestGranterAnswersOnlyItsFollowers(t *testing.T) {
	g := newTestGranter(noTolerance, "h1")
	g.AddHosts("h2")
	accounts := []AccountRequest{{Account: "a", Quota: quota40, Waiting: 1}}
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
		{"a host that has not reported", "h2", "h2.1", 5, t0, false},
		{"a host that no successor would ask", "h3", "h3.1", 5, t0, false},
		{"a follower after the granter has stopped answering", "h1", "h1.1", 5, t0.Add(PortionTTL), false},
	} {
		if _, ok := g.HandleRequest(c.host, c.process, Request{ID: uint64(i + 1), FencingToken: c.token, Accounts: accounts}, c.at); ok != c.want {
			t.Errorf("%s: answered = %v", c.what, ok)
		}
	}
}

// A host holds a large portion, and its callers leave. The granter offers it a smaller one, but the response is lost and
// the host keeps the large one. Until a request shows that the host holds the smaller portion, no other host may get the
// difference.
func TestPortionCountsUntilTheHostKnowsOfASmallerOne(t *testing.T) {
	g := newTestGranter(noTolerance, "h1", "h2", "h3")
	bursty := account.Quota{Rate: 40, Burst: 400}
	requestBursty := func(host string, at time.Time, holding uint64, demand float64) Grant {
		requestID++
		req := Request{ID: requestID, FencingToken: 5, Accounts: []AccountRequest{{Account: "a", Quota: bursty, HeldSerial: holding, Demand: demand}}}
		out, ok := g.HandleRequest(host, host+".1", req, at)
		if !ok {
			t.Fatalf("%s got no response", host)
		}
		return out.Grants[0]
	}
	big, third := requestBursty("h1", t0, 0, 30), requestBursty("h3", t0, 0, 30)
	requestBursty("h1", t0.Add(time.Second), big.Serial, 0) // the response with the smaller portion is lost
	other := requestBursty("h2", t0.Add(time.Second), 0, 30)
	if sum := big.Rate + third.Rate + other.Rate; sum > share.MinPortions.Fraction()*bursty.Rate+0.001 {
		t.Errorf("three hosts hold %.1f of %.0f operations/s", sum, bursty.Rate)
	}
	small := requestBursty("h1", t0.Add(2*time.Second), big.Serial, 0)
	requestBursty("h1", t0.Add(3*time.Second), small.Serial, 0) // the response arrived
	if other = requestBursty("h2", t0.Add(3*time.Second), other.Serial, 30); other.Rate < share.MinPortions.Fraction()*bursty.Rate-third.Rate-0.001 {
		t.Errorf("the other host got only %.1f operations/s of the free rate", other.Rate)
	}
}

// A host's requests arrive, but no response gets back to it. It can't know that its portions stay suspended, so they
// become active. The granter must expect this and distribute only the rest of the quota.
func TestPortionActivatesWhenResponsesAreLost(t *testing.T) {
	g := newTestGranter(noTolerance, "h1", "h2")
	request := func(lastAnswered uint64, at time.Time) (uint64, Response) {
		requestID++
		q := []AccountRequest{{Account: "a", Quota: quota40, Demand: 20}}
		out, ok := g.HandleRequest("h1", "h1.1", Request{ID: requestID, LastAnswered: lastAnswered, FencingToken: 5, Accounts: q}, at)
		if !ok {
			t.Fatal("no response")
		}
		return requestID, out
	}
	first, response := request(0, t0)
	at := t0.Add(800 * ms)
	request(first, at)             // the first response arrived, later ones are lost
	for g.pools["a"].tokens >= 1 { // the burst is used up
		requestAccount(t, g, "h2", at, AccountRequest{Waiting: 40})
	}
	got := 0
	for range 50 {
		at = at.Add(100 * ms)
		g.Extend(at)
		request(first, at)
		got += requestAccount(t, g, "h2", at, AccountRequest{Waiting: 40}).Tokens
	}
	// The portion is suspended for 2.4 s from the host's first request, which is 1.6 s from when the burst is used up.
	if rate := response.Grants[0].Rate; got > 40*5-int(rate*3.4) || rate < 10 {
		t.Errorf("%d tokens were granted in 5 s next to a portion of %.0f/s that is suspended for 1.6 s", got, rate)
	}
}

// A host's second request confirms the first response, and the second response is lost. The host counts from its first
// request, so its portion becomes active earlier than it would after the second one. The granter must not count the
// portion as suspended for longer.
func TestSuspensionIsCountedFromTheConfirmedRequest(t *testing.T) {
	for _, interval := range []time.Duration{0, ReserveKeepaliveInterval, time.Second} {
		reserves := interval > 0
		g := newTestGranter(noTolerance, "h1", "h2")
		l := NewLimiter()
		l.Follow(5)
		for range 80 {
			l.Begin("a", quota40, t0, t0)
		}
		if reserves {
			l.SetReserve("a", quota40, ReserveFraction(3), t0)
			l.SetKeepaliveInterval(interval)
		}
		req, _ := l.NextRequest(t0)
		response, _ := g.HandleRequest("h1", "h1.1", req, t0)
		if !l.HandleResponse(req.ID, 5, response, t0) {
			t.Fatal("no response")
		}
		// At the time counted by the granter, the latest response that the host accepts may still be in transit.
		end := l.activeAt.Add(-ResponseTimeout - maxClockDrift)
		confirmation := Request{ID: req.ID + 1, LastAnswered: req.ID, FencingToken: 5, KeepaliveInterval: req.KeepaliveInterval}
		if _, ok := g.HandleRequest("h1", "h1.1", confirmation, end.Add(-100*ms)); !ok {
			t.Fatal("no response")
		}
		for _, c := range []struct {
			at     time.Time
			active bool
		}{{end.Add(-ms), false}, {end, true}} {
			requestAccount(t, g, "h2", c.at, AccountRequest{Waiting: 1})
			if got := g.pools["a"].totals.activeRate; got > 0 != c.active || response.Grants[0].Rate < 1 {
				t.Errorf("%s after the first request a rate of %.1f/s counts as active, reserves: %v", c.at.Sub(t0), got, reserves)
			}
		}
	}
}

// An unreachable host accumulates tokens up to its portion's capacity. Callers on other hosts get the burst less that
// capacity.
func TestBurstExcludesTokensOfUnreachableHost(t *testing.T) {
	g := newTestGranter(noTolerance, "h1", "h2")
	cut := requestAccount(t, g, "h1", t0, AccountRequest{Demand: 20})
	at := t0.Add(10 * time.Second)
	g.Extend(at)
	if grant := requestAccount(t, g, "h2", at, AccountRequest{Waiting: 100}); float64(grant.Tokens) > quota40.Burst-cut.Cap || cut.Cap < 8 {
		t.Errorf("got %d tokens at once while an unreachable host may store %.0f; the burst is 40", grant.Tokens, cut.Cap)
	}
}

// A request arrives after a newer one of the same host. The holdings that it states are out of date.
func TestLateRequestsAreNotAnswered(t *testing.T) {
	g := newTestGranter(noTolerance, "h1")
	q := []AccountRequest{{Account: "a", Quota: quota40, Demand: 5}}
	if _, ok := g.HandleRequest("h1", "h1.1", Request{ID: 8, FencingToken: 5, Accounts: q}, t0); !ok {
		t.Fatal("no response")
	}
	if _, ok := g.HandleRequest("h1", "h1.1", Request{ID: 7, FencingToken: 5, Accounts: q}, t0.Add(ms)); ok {
		t.Error("the late request was answered")
	}
}

// A granter loses its role before its lease ends, and does not know. It goes on serving the callers on its side of a
// network partition from the portions of its followers. Its successor has no report from them. Until the old granter must
// have noticed the loss, the successor distributes only what its own followers leave unused, and after that also the
// part that no host can hold.
func TestTwoGrantersStayWithinTheQuota(t *testing.T) {
	old := newTestGranter(noTolerance, "h1", "h2", "h3")
	for _, host := range []string{"h1", "h2"} {
		requestAccount(t, old, host, t0, AccountRequest{Demand: 10})
	}
	holds := old.pools["a"].portions["h2"].offered
	now := t0.Add(time.Second)
	// Three hosts that have not reported could hold 0.9 of the quota, and all portions together 0.95.
	next := NewGranter(5, noTolerance, now, []string{"h1", "h2", "h3", "h4"}, []string{"h3"})
	next.RecordReport("h2", "h2.1", []Holding{{"a", holds, 10 * time.Second}}, now)
	held := holds.Rate
	for _, c := range []struct {
		after time.Duration
		scope distributionScope
		rate  float64
	}{
		{0, scopeFollowers, 0},
		{assumeActiveAfter + 100*ms, scopeFollowers, held},
		{leadership.RoleValidity + 2*maxClockDrift, scopeUnreserved, (1-share.MaxPortions.Fraction())*quota40.Rate + held},
		{leadership.RoleValidity + 5*time.Second, scopeUnreserved, (1-share.MaxPortions.Fraction())*quota40.Rate + held},
		{PortionTTL + maxClockDrift, scopeEntire, 0},
	} {
		at := now.Add(c.after)
		next.Extend(at)
		for i := range 2 { // the second request shows that the first was answered
			requestID++
			q := []AccountRequest{{Account: "a", Quota: quota40, HeldSerial: holds.Serial}}
			if _, ok := next.HandleRequest("h2", "h2.1", Request{ID: requestID, LastAnswered: requestID - 1, FencingToken: 5, Accounts: q}, at.Add(time.Duration(i)*ms)); !ok {
				t.Fatal("no response")
			}
		}
		if got := next.pools["a"].refillRate(next.scope); next.scope != c.scope || math.Abs(got-c.rate) > 0.01 && c.scope != scopeEntire {
			t.Errorf("%s after the start: scope %d, %.1f/s, want %d and %.1f", c.after, next.scope, got, c.scope, c.rate)
		}
	}
	// By then the old granter no longer relies on its role.
	requestAccount(t, old, "h1", now.Add(time.Second), AccountRequest{Demand: 10, HeldSerial: 1})
	if got := old.pools["a"].refillRate(old.scope); old.scope != scopeFollowers || got > share.MinPortions.Fraction()*quota40.Rate-held {
		t.Errorf("the old granter distributes %.1f/s in scope %d while its successor's followers hold %.1f/s", got, old.scope, held)
	}
}

// All hosts lose power, and one does not come back. The new granter need not wait until the lost host's portions must
// have expired: it can distribute the part of the quota that a single host can't hold.
func TestCallersAreServedWhileAHostIsLost(t *testing.T) {
	g := NewGranter(5, noTolerance, t0, []string{"h1", "h2"}, []string{"h1"})
	g.RecordReport("h1", "h1.2", nil, t0)
	got := 0
	for at := t0; !at.After(t0.Add(5 * time.Second)); at = at.Add(100 * ms) {
		g.Extend(at)
		requestID++
		req := Request{ID: requestID, FencingToken: 5, Accounts: []AccountRequest{{Account: "a", Quota: quota40, Waiting: 5}}}
		if out, ok := g.HandleRequest("h1", "h1.2", req, at); ok {
			got += out.Grants[0].Tokens
		}
	}
	if want := int((1 - share.PerHost) * quota40.Rate * 5); got < want-2 || got > want {
		t.Errorf("%d tokens were granted in 5 s, want %d", got, want)
	}
}

// Callers use a host for the first time while the quota is unused. They get their tokens at once, and the host gets a
// portion that follows their demand while the other host's portion shrinks.
func TestPortionsFollowDemand(t *testing.T) {
	g := newTestGranter(noTolerance, "h1", "h2")
	serials := map[string]uint64{}
	rates := map[string]float64{}
	step := func(at time.Time, host string, demand float64) Grant {
		grant := requestAccount(t, g, host, at, AccountRequest{HeldSerial: serials[host], Demand: demand, Waiting: 1, Prefetch: 2})
		serials[host], rates[host] = grant.Serial, grant.Rate
		return grant
	}
	at := t0.Add(2 * time.Second)
	g.Extend(at)
	if grant := step(at, "h1", 1); grant.Tokens < 1 {
		t.Errorf("the first caller got %d tokens", grant.Tokens)
	}
	for _, c := range []struct{ busy, rests string }{{"h1", "h2"}, {"h2", "h1"}} {
		for range 5 {
			at = at.Add(adaptInterval)
			step(at, c.busy, 10)
			step(at, c.rests, 1)
		}
		if rates[c.busy] < 10 || rates[c.rests] > 2 {
			t.Errorf("portions %v for a demand of 10 at %s and 1 at %s", rates, c.busy, c.rests)
		}
	}
}

// Callers ask for more than the quota. In the long run they get the quota, and refused callers are told when to retry.
func TestDemandAboveTheQuota(t *testing.T) {
	g := newTestGranter(noTolerance, "h1")
	s := NewShard()
	s.Follow(5)
	started := 0
	var after time.Duration
	for at := t0; at.Before(t0.Add(20 * time.Second)); at = at.Add(10 * ms) {
		g.Extend(at)
		v, later := s.Begin("a", quota40, at, at)
		if v == Wait {
			ticket := s.AddWaiter("a")
			if req, ok := s.NextRequest(at); ok {
				response, _ := g.HandleRequest("h1", "h1.1", req, at)
				s.HandleResponse(req.ID, 5, response, at)
			}
			v, later = s.Decide("a", ticket, at, at)
		}
		if v == Admitted {
			started++
		} else {
			after = max(after, later)
		}
	}
	if started < 20*40*95/100 || started > 20*40+40 {
		t.Errorf("%d operations started in 20 s; the quota allows %d and a burst of 40", started, 20*40)
	}
	if after <= 0 || after > waiting.MaxRetryAfter {
		t.Errorf("a refused caller was told to retry after %s", after)
	}
}

// The quota is lowered while the host can't reach the granter. Its portion shrinks all the same.
func TestLoweredQuotaShrinksThePortion(t *testing.T) {
	var b Bucket
	b.applyGrant(Grant{Serial: 1, Rate: 20, Cap: 10, TTL: PortionTTL}, t0, t0, t0)
	b.scaleDown(quota40, account.Quota{Rate: 10, Burst: 10}, t0.Add(time.Second), t0)
	if p := b.portion; p.Rate != 5 || p.Cap != 2.5 || b.tokens != 2.5 {
		t.Errorf("portion %+v, %.1f tokens", p, b.tokens)
	}
	b.scaleDown(account.Quota{Rate: 10, Burst: 10}, quota40, t0.Add(time.Second), t0)
	if p := b.portion; p.Rate != 5 {
		t.Errorf("portion %+v after the quota was raised; only the granter may raise a portion", p)
	}
}

// The callers of an idle account return to two hosts at the same moment. The tokens stored on both hosts and those that
// the granter grants then must not exceed the burst.
func TestBurstAfterIdlePeriodStaysWithinTheQuota(t *testing.T) {
	g := newTestGranter(noTolerance, "h1", "h2")
	shards := map[string]*Shard{"h1": NewShard(), "h2": NewShard()}
	sendRequest := func(host string, at time.Time) {
		s := shards[host]
		req, ok := s.NextRequest(at)
		if !ok {
			return
		}
		response, _ := g.HandleRequest(host, host+".1", req, at)
		s.HandleResponse(req.ID, 5, response, at)
	}
	at := t0
	for host, s := range shards {
		s.Follow(5)
		for range 40 {
			at = at.Add(25 * ms)
			g.Extend(at)
			s.Begin("a", quota40, at, at)
			sendRequest(host, at)
		}
	}
	for range 5 { // portions shrink, and requests show the granter that they have
		at = at.Add(refreshInterval)
		g.Extend(at)
		for host := range shards {
			sendRequest(host, at)
		}
	}
	at = at.Add(time.Second)
	g.Extend(at)
	begin := func(host string) bool {
		s := shards[host]
		v, _ := s.Begin("a", quota40, at, at)
		if v == Wait {
			ticket := s.AddWaiter("a")
			sendRequest(host, at)
			v, _ = s.Decide("a", ticket, at, at)
		}
		return v == Admitted
	}
	started := 0
	for range 40 {
		for host := range shards {
			if begin(host) {
				started++
			}
		}
	}
	if started > 40 || started < 35 {
		t.Errorf("%d operations started at once; the burst is 40", started)
	}
}
