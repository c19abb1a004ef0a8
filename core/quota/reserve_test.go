package quota

import (
	"slices"
	"testing"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/reserve"
	"pearlatch/core/quota/share"
	"pearlatch/core/quota/waiting"
)

// newTestClient returns a limiter with three reserve holders and a waiting operation, whose granter does not respond.
func newTestClient() (l *Limiter, ticket uint64) {
	l = NewLimiter()
	l.Follow(5)
	l.SetReserveHolders([]string{"r1", "r2", "r3"})
	l.Begin("a", quota40, t0, t0)
	ticket = l.AddWaiter("a")
	req, _ := l.NextRequest(t0)
	l.Abandon(req.ID, t0)
	return l, ticket
}

// A holder's reply arrives late, twice, or after the request was given up. The tokens are dropped: the holder's portion may
// have ended, or the operations that they were for may have got others.
func TestReserveReplyIsAcceptedOnceAndInTime(t *testing.T) {
	l, ticket := newTestClient()
	_, first, _ := l.NextReserveRequest(t0)
	reply := reserve.Reply{Grants: []reserve.Grant{{Account: "a", Tokens: 1}}}
	if n := l.HandleReserveReply(first.ID, reply, t0.Add(ResponseTimeout+ms)); n > 0 {
		t.Error("a reply later than ResponseTimeout was accepted")
	}
	_, given, ok := l.NextReserveRequest(t0)
	if !ok {
		t.Fatal("no second request")
	}
	l.AbandonReserve(given.ID, t0)
	if n := l.HandleReserveReply(given.ID, reply, t0); n > 0 {
		t.Error("the reply to a request that was given up was accepted")
	}
	l.AddWaiter("a")
	_, second, ok := l.NextReserveRequest(t0.Add(reserve.FailurePause))
	if !ok {
		t.Fatal("no third request")
	}
	if n := l.HandleReserveReply(second.ID, reply, t0); n != 1 {
		t.Error("the reply to the last request was not accepted")
	}
	if n := l.HandleReserveReply(second.ID, reply, t0); n > 0 {
		t.Error("a reply was accepted twice")
	}
	if v, _ := l.Decide("a", ticket, t0, t0); v != Admitted {
		t.Errorf("decision %d on the operation for which a token came", v)
	}
}

// A holder is slow. Another one is asked meanwhile, and the tokens of both are used: dropped ones would be lost.
func TestAnotherHolderIsAskedWhileOneIsSlow(t *testing.T) {
	l, first := newTestClient()
	second := l.AddWaiter("a")
	slow, req, _ := l.NextReserveRequest(t0)
	if _, _, ok := l.NextReserveRequest(t0.Add(reserve.Timeout - ms)); ok {
		t.Error("another holder was asked at once")
	}
	at := t0.Add(reserve.Timeout)
	other, next, ok := l.NextReserveRequest(at)
	if !ok || other == slow {
		t.Fatalf("asked %q after %q", other, slow)
	}
	for _, id := range []uint64{next.ID, req.ID} {
		l.HandleReserveReply(id, reserve.Reply{Grants: []reserve.Grant{{Account: "a", Tokens: 1, RetryAfter: 400 * ms}}}, at)
	}
	for _, ticket := range []uint64{first, second} {
		if v, _ := l.Decide("a", ticket, at, at); v != Admitted {
			t.Errorf("decision %d on an operation for which a token came", v)
		}
	}
}

// Guards against a host that is paused while it waits for a holder's reply and never asks a holder again: the reply is too
// late, but it ends the request.
func TestLateReserveReplyEndsTheRequest(t *testing.T) {
	l, _ := newTestClient()
	first, req, _ := l.NextReserveRequest(t0)
	late := t0.Add(ResponseTimeout + ms)
	l.HandleReserveReply(req.ID, reserve.Reply{Grants: []reserve.Grant{{Account: "a", Tokens: 1}}}, late)
	if second, _, ok := l.NextReserveRequest(late); !ok || second == first {
		t.Errorf("asked %q after a late reply of %q: %v", second, first, ok)
	}
}

// The granter is silent and no holder has tokens. An operation asks two holders and is then refused, with the time at
// which a holder expects a token. Operations that follow at once ask nobody, and are told later times.
func TestTwoHoldersAreAskedForAnOperation(t *testing.T) {
	l, ticket := newTestClient()
	now := t0.Add(reserve.GranterLossTimeout + ms)
	var asked []string
	for {
		holder, req, ok := l.NextReserveRequest(now)
		if !ok {
			break
		}
		if _, _, again := l.NextReserveRequest(now); again {
			t.Error("two requests at a time")
		}
		asked = append(asked, holder)
		l.HandleReserveReply(req.ID, reserve.Reply{Grants: []reserve.Grant{{Account: "a", RetryAfter: 400 * ms, Interval: 100 * ms}}}, now)
	}
	if !slices.Equal(asked, []string{"r1", "r2"}) {
		t.Errorf("asked %v", asked)
	}
	if v, after := l.Decide("a", ticket, now, now.Add(250*ms)); v != Refused || after != 400*ms {
		t.Errorf("decision %d, retry after %s", v, after)
	}
	for _, want := range []time.Duration{500 * ms, 600 * ms} {
		if v, after := l.Begin("a", quota40, now, now.Add(250*ms)); v != Refused || after != want {
			t.Errorf("decision %d on a following operation, retry after %s, want %s", v, after, want)
		}
	}
	if v, _ := l.Begin("a", quota40, now.Add(maxRefusalTTL), now); v != Wait {
		t.Error("holders are not asked again")
	}
}

// While the granter answers, holders are asked only if it had no token and does not know what all hosts hold. If it is
// late, they are asked as well.
func TestHoldersAreNotAskedWhileTheGranterAnswers(t *testing.T) {
	for _, c := range []struct {
		what     string
		answer   bool
		response Response
		want     bool
	}{
		{"a token", true, Response{Grants: []Grant{{Account: "a", Tokens: 1}}}, false},
		{"no token from a granter that knows all holdings", true, Response{Suspended: true, Grants: []Grant{{Account: "a", RetryAfter: 30 * ms}}}, false},
		{"no token from a new granter", true, Response{Grants: []Grant{{Account: "a", RetryAfter: 30 * ms}}}, true},
		{"no token from a granter that lacks a report", true, Response{Suspended: true, Partial: true, Grants: []Grant{{Account: "a", RetryAfter: 30 * ms}}}, true},
		{"a late granter", false, Response{}, true},
	} {
		l := NewLimiter()
		l.SetReserveHolders([]string{"r1"})
		l.Begin("a", quota40, t0, t0)
		l.AddWaiter("a")
		req, _ := l.NextRequest(t0)
		if _, _, ok := l.NextReserveRequest(t0.Add(reserve.HedgeDelay - ms)); ok {
			t.Errorf("%s: a holder was asked before the granter could answer", c.what)
		}
		if c.answer {
			l.HandleResponse(req.ID, 0, c.response, t0)
		}
		if _, _, ok := l.NextReserveRequest(t0.Add(reserve.HedgeDelay)); ok != c.want {
			t.Errorf("%s: a holder was asked: %v", c.what, ok)
		}
	}
}

// A holder gives only tokens that it holds, also to requests that arrive together. If it gave more, the granter's count of
// its portion would be too low.
func TestHolderGivesOnlyItsOwnTokens(t *testing.T) {
	g := newTestGranter(noTolerance, "r1")
	s := NewShard()
	s.Follow(5)
	give := func(n int, at time.Time) reserve.Grant {
		req := reserve.Request{Accounts: []reserve.Demand{{Account: "a", Waiting: n}, {Account: "unknown", Waiting: 1}}}
		reply := s.Give(req, func(name string) (account.Quota, bool) { return quota40, name == "a" }, at)
		if reply.Declined || len(reply.Grants) != 1 {
			return reserve.Grant{Tokens: -1}
		}
		return reply.Grants[0]
	}
	if got := give(1, t0); got.Tokens != -1 {
		t.Errorf("a host without reserves gave %+v", got)
	}
	s.SetReserve("a", quota40, ReserveFraction(3), t0)
	at := t0
	for range 4 { // the portion, and tokens to store
		at = at.Add(ReserveKeepaliveInterval)
		if req, ok := s.NextRequest(at); ok {
			response, _ := g.HandleRequest("r1", "r1.1", req, at)
			s.HandleResponse(req.ID, 5, response, at)
		}
	}
	portion := s.accounts["a"].bucket.portion
	if got := give(100, at); got.Tokens != int(portion.Cap) || got.Tokens < 4 || got.RetryAfter <= 0 {
		t.Errorf("gave %+v of a reserve of %+v", got, portion)
	}
	if got := give(5, at); got.Tokens != 0 || got.RetryAfter <= 0 {
		t.Errorf("gave %+v after all tokens were given", got)
	}
	at = at.Add(2 * time.Second)
	if got := give(100, at); got.Tokens != int(portion.Cap) {
		t.Errorf("gave %+v a second after the reserve of %+v became active", got, portion)
	}
}

// The reserves of three holders together are half of the quota, and the other portions get only what portions may hold
// beyond that. A successor of the previous version relies on the sum.
func TestReservesLeaveRoomForOtherPortions(t *testing.T) {
	g := newTestGranter(noTolerance, "r1", "r2", "r3", "r4", "h1", "h2")
	serials, rates := map[string]uint64{}, map[string]float64{}
	for i := range 5 {
		for _, host := range []string{"h1", "h2", "r1", "r2", "r3", "r4"} {
			q := AccountRequest{HeldSerial: serials[host], Demand: 20}
			if host[0] == 'r' {
				q.Demand, q.Reserve = 0, ReserveFraction(3)
			}
			grant := requestAccount(t, g, host, t0.Add(time.Duration(i)*time.Second), q)
			serials[host], rates[host] = grant.Serial, grant.Rate
			if sum := g.pools["a"].totals.rate; sum > share.MinPortions.Fraction()*quota40.Rate+0.001 {
				t.Fatalf("round %d: portions of %.1f/s together after the request of %s", i, sum, host)
			}
		}
	}
	reserves, others := rates["r1"]+rates["r2"]+rates["r3"]+rates["r4"], rates["h1"]+rates["h2"]
	if reserves < 0.49*quota40.Rate || reserves > 0.501*quota40.Rate || others < 0.09*quota40.Rate || reserves+others > share.MinPortions.Fraction()*quota40.Rate+0.001 {
		t.Errorf("reserves %.1f/s, other portions %.1f/s of %.0f/s", reserves, others, quota40.Rate)
	}
}

// Callers that are refused together are told different times: each of the next tokens is for one of them. Those for whom
// no token is expected in time come back spread over a second.
func TestRefusedCallersAreSpread(t *testing.T) {
	g := newTestGranter(noTolerance, "h1", "h2")
	for requestAccount(t, g, "h1", t0, AccountRequest{Waiting: 40}).Tokens > 0 {
		continue
	}
	perInterval := map[time.Duration]int{}
	for i := range 200 {
		grant := requestAccount(t, g, []string{"h1", "h2"}[i%2], t0.Add(time.Duration(i)*ms), AccountRequest{Waiting: 1})
		if grant.Tokens > 0 {
			continue
		}
		if grant.RetryAfter <= 0 || grant.RetryAfter > waiting.MaxRetryAfter {
			t.Fatalf("retry after %s", grant.RetryAfter)
		}
		perInterval[(time.Duration(i)*ms+grant.RetryAfter)/(100*ms)]++
	}
	for at, n := range perInterval {
		if n > 20 { // 4 tokens, and callers without an expected token
			t.Errorf("%d of 200 callers are told to retry within 100 ms, after %s", n, at*100*ms)
		}
	}
}

// The next token is due within the time for which operations can wait. They wait for it in the order in which they
// arrived, and those that can't be served in time are refused at once.
func TestOperationsWaitInOrder(t *testing.T) {
	l := NewLimiter()
	l.Follow(5)
	until := t0.Add(250 * ms)
	l.Begin("a", quota40, t0, until)
	tickets := []uint64{l.AddWaiter("a")}
	req, _ := l.NextRequest(t0)
	l.HandleResponse(req.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 1, RetryAfter: 100 * ms, Interval: 100 * ms}}}, t0)
	for range 2 {
		v, after := l.Begin("a", quota40, t0, until)
		if v == Wait {
			tickets = append(tickets, l.AddWaiter("a"))
		} else if after != 300*ms {
			t.Errorf("retry after %s", after)
		}
	}
	if len(tickets) != 2 {
		t.Fatalf("%d operations wait", len(tickets))
	}
	at := t0.Add(100 * ms)
	req, ok := l.NextRequest(at)
	if !ok || req.Accounts[0].Waiting != 2 {
		t.Fatalf("unexpected request %+v", req)
	}
	l.HandleResponse(req.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 2, Tokens: 1, RetryAfter: 100 * ms}}}, at)
	if v, _ := l.Decide("a", tickets[1], at, until); v != Wait {
		t.Errorf("decision %d on the later operation", v)
	}
	if v, _ := l.Decide("a", tickets[0], at, until); v != Admitted {
		t.Errorf("decision %d on the first operation", v)
	}
}
