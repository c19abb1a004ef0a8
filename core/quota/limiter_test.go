package quota

import (
	"testing"
	"time"

	"pearlatch/core/quota/demand"
	"pearlatch/core/quota/reserve"
)

// A response arrives after the host has sent another request, when the granter already counts it as lost. If the host
// accepted it, the host would get two portions.
func TestOnlyTheLastResponseIsAccepted(t *testing.T) {
	l := NewLimiter()
	l.Follow(5)
	l.Begin("a", quota40, t0, t0)
	l.AddWaiter("a")
	first, _ := l.NextRequest(t0)
	l.Abandon(first.ID, t0)
	second, ok := l.NextRequest(t0.Add(time.Second))
	if !ok {
		t.Fatal("no second request")
	}
	response := Response{Grants: []Grant{{Account: "a", Serial: 1, Rate: 9, Cap: 5, TTL: PortionTTL}}}
	if l.HandleResponse(first.ID, 5, response, t0.Add(time.Second)) {
		t.Error("the late response was accepted")
	}
	if l.HandleResponse(second.ID, 5, response, t0.Add(time.Second+ResponseTimeout+ms)) {
		t.Error("a response later than ResponseTimeout was accepted; the granter may already count the portion as active")
	}
	if !l.HandleResponse(second.ID, 5, response, t0.Add(time.Second)) || l.HandleResponse(second.ID, 5, response, t0.Add(time.Second)) {
		t.Error("the response was not accepted exactly once")
	}
}

// A host that has reported to a granter accepts no response that was in transit, and none from earlier granters.
func TestReportRejectsEarlierGranters(t *testing.T) {
	s := NewShard()
	s.Follow(5)
	s.Begin("a", quota40, t0, t0)
	req, _ := s.NextRequest(t0)
	s.SetGranter(NewGranter(5, noTolerance, t0, nil, nil))
	if _, ok := s.Report(6, t0); !ok || s.Granter() != nil {
		t.Errorf("reported: %v, still the granter: %v", ok, s.Granter() != nil)
	}
	response := Response{Grants: []Grant{{Account: "a", Serial: 1, Rate: 9, Cap: 5, TTL: PortionTTL}}}
	if s.HandleResponse(req.ID, 5, response, t0) {
		t.Error("the response in transit was accepted")
	}
	if _, ok := s.Report(5, t0); ok {
		t.Error("the host reported to an earlier granter")
	}
	s.Begin("a", quota40, t0, t0)
	if req, _ := s.NextRequest(t0.Add(time.Second)); req.FencingToken != 6 {
		t.Errorf("the request has fencing token %d", req.FencingToken)
	}
}

// Waiting operations get the tokens granted for them even if the host's portion may store none.
func TestTokensForWaitingOperations(t *testing.T) {
	l := NewLimiter()
	l.Follow(5)
	var tickets []uint64
	for range 3 {
		l.Begin("a", quota40, t0, t0)
		tickets = append(tickets, l.AddWaiter("a"))
	}
	req, _ := l.NextRequest(t0)
	if q := req.Accounts[0]; q.Waiting != 3 {
		t.Errorf("requested %d tokens", q.Waiting)
	}
	l.HandleResponse(req.ID, 5, Response{Grants: []Grant{{Account: "a", Serial: 1, TTL: PortionTTL, Tokens: 2, RetryAfter: 30 * ms}}}, t0)
	decisions := map[Decision]int{}
	for _, ticket := range tickets {
		v, after := l.Decide("a", ticket, t0.Add(5*ms), t0.Add(5*ms))
		decisions[v]++
		if v == Refused && after != 25*ms {
			t.Errorf("retry after %s", after)
		}
	}
	if decisions[Admitted] != 2 || decisions[Refused] != 1 {
		t.Errorf("decisions %v", decisions)
	}
}

// A host whose callers have left gives its portion back, sends no more requests, and finally removes the account.
func TestIdleAccountsAreRemoved(t *testing.T) {
	l := NewLimiter()
	l.Follow(5)
	for range 4 {
		l.Begin("a", quota40, t0, t0)
	}
	req, _ := l.NextRequest(t0)
	l.HandleResponse(req.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 1, Rate: 1, Cap: 1, TTL: PortionTTL}}}, t0)
	at := t0.Add(keepaliveInterval)
	if req, _ = l.NextRequest(at); req.ID == 0 || len(req.Accounts) != 0 || req.LastAnswered != 1 {
		t.Errorf("unexpected request of a host that holds a portion: %+v", req)
	}
	l.HandleResponse(req.ID, 5, Response{Suspended: true}, at)
	at = at.Add(2 * demand.TimeConstant)
	if req, _ = l.NextRequest(at); len(req.Accounts) != 1 || req.Accounts[0].Demand > 0.5 {
		t.Errorf("the portion is not given back: %+v", req)
	}
	l.HandleResponse(req.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 2, TTL: PortionTTL}}}, at)
	if req, ok := l.NextRequest(at.Add(refreshInterval)); ok {
		t.Errorf("request for an unused account of which nothing is held: %+v", req)
	}
	l.RemoveIdle(at.Add(2 * PortionTTL))
	if len(l.accounts) != 0 {
		t.Error("the account was not removed")
	}
}

// The token of an operation that has not run goes back to the granter exactly once.
func TestReturnedTokens(t *testing.T) {
	l := NewLimiter()
	l.Follow(5)
	l.Begin("a", quota40, t0, t0)
	l.AddWaiter("a")
	l.ReturnToken("a")
	if req, _ := l.NextRequest(t0); req.Accounts[0].Returned != 1 {
		t.Errorf("unexpected request %+v", req)
	}
	l.Abandon(1, t0)
	if req, _ := l.NextRequest(t0.Add(time.Second)); req.Accounts[0].Returned != 0 {
		t.Errorf("a token that the granter may have received is returned again: %+v", req)
	}
}

// While the host reaches the granter, tokens come from the granter alone. Otherwise the portion yields them.
func TestPortionsActivateWithoutTheGranter(t *testing.T) {
	l := NewLimiter()
	l.Follow(5)
	l.Begin("a", quota40, t0, t0)
	ticket := l.AddWaiter("a")
	req, _ := l.NextRequest(t0)
	l.HandleResponse(req.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 1, Rate: 10, Cap: 2, TTL: PortionTTL, Tokens: 1}}}, t0)
	if v, _ := l.Decide("a", ticket, t0, t0); v != Admitted {
		t.Fatalf("decision %d on the operation for which a token came", v)
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{activateAfter - ms, 0}, {activateAfter + 101*ms, 1}, {activateAfter + 10*time.Second, 2}, {PortionTTL, 0}} {
		n := 0
		for at := t0.Add(c.after); n < 9; n++ {
			if !l.accounts["a"].bucket.take(at, l.activeAt) {
				break
			}
		}
		if n != c.want {
			t.Errorf("%s after the last response %d operations started, want %d", c.after, n, c.want)
		}
	}
}

// A host knew no granter when it started, and had no accounts to serve until later. If the failure of long ago counted,
// the first operations would be refused although the granter is there.
func TestOldFailureOfTheGranterDoesNotCount(t *testing.T) {
	l := NewLimiter()
	l.RecordNoGranter(t0)
	at := t0.Add(2 * time.Second)
	if d, _ := l.Begin("a", quota40, at, at.Add(time.Second)); d != Wait {
		t.Errorf("decision %v, want to wait for the granter", d)
	}
	// It declines the first request until it has recorded the host.
	l.RecordNoGranter(at)
	if d, _ := l.Begin("a", quota40, at, at.Add(time.Second)); d != Wait {
		t.Errorf("decision %v after a failure just now, want to wait for the granter", d)
	}
	at = at.Add(reserve.GranterLossTimeout + ms)
	l.RecordNoGranter(at)
	if d, _ := l.Begin("a", quota40, at, at.Add(time.Second)); d != Refused {
		t.Errorf("decision %v, want a refusal while the granter still fails", d)
	}
}
