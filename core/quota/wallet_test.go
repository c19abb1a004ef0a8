package quota

import (
	"testing"
	"time"
)

// An answer is late: the host has asked again since, and the granter has counted the first answer as lost. Taken
// now, it would give the host two portions.
func TestOnlyTheLastResponseIsAccepted(t *testing.T) {
	w := NewLimiter()
	w.Follow(5)
	w.Begin("a", quota40, t0)
	w.AddWaiter("a")
	first, _ := w.NextRequest(t0)
	w.Abandon(first.ID)
	second, ok := w.NextRequest(t0.Add(time.Second))
	if !ok {
		t.Fatal("it does not ask again")
	}
	grants := Response{Grants: []Grant{{Account: "a", Serial: 1, Rate: 9, Cap: 5, TTL: PortionTTL}}}
	if w.HandleResponse(first.ID, 5, grants, t0.Add(time.Second)) {
		t.Error("the late answer was taken")
	}
	if w.HandleResponse(second.ID, 5, grants, t0.Add(time.Second+ResponseTimeout+ms)) {
		t.Error("an answer was taken that was so late that the granter counts on the portion's waking")
	}
	if !w.HandleResponse(second.ID, 5, grants, t0.Add(time.Second)) || w.HandleResponse(second.ID, 5, grants, t0.Add(time.Second)) {
		t.Error("the answer was not taken once")
	}
}

// A host that has told a granter what it holds takes no answer that was under way, and none of earlier granters.
func TestReportRejectsEarlierGranters(t *testing.T) {
	s := NewShard()
	s.Follow(5)
	s.Begin("a", quota40, t0)
	in, _ := s.NextRequest(t0)
	s.SetGranter(NewGranter(5, noTolerance, t0, nil, nil))
	if _, ok := s.Report(6, t0); !ok || s.Granter() != nil {
		t.Errorf("told %v, still a granter: %v", ok, s.Granter() != nil)
	}
	grants := Response{Grants: []Grant{{Account: "a", Serial: 1, Rate: 9, Cap: 5, TTL: PortionTTL}}}
	if s.HandleResponse(in.ID, 5, grants, t0) {
		t.Error("the answer under way was taken")
	}
	if _, ok := s.Report(5, t0); ok {
		t.Error("an earlier granter was told")
	}
	s.Begin("a", quota40, t0)
	if in, _ := s.NextRequest(t0.Add(time.Second)); in.Token != 6 {
		t.Errorf("asks with the token %d", in.Token)
	}
}

// Operations that wait get the tokens that were handed out for them, even where the host may keep none.
func TestTokensForWaitingOperations(t *testing.T) {
	w := NewLimiter()
	w.Follow(5)
	for range 3 {
		w.Begin("a", quota40, t0)
		w.AddWaiter("a")
	}
	in, _ := w.NextRequest(t0)
	if q := in.Accounts[0]; q.Waiting != 3 {
		t.Errorf("asks for %d", q.Waiting)
	}
	w.HandleResponse(in.ID, 5, Response{Grants: []Grant{{Account: "a", Serial: 1, TTL: PortionTTL, Tokens: 2, RetryAfter: 30 * ms}}}, t0)
	verdicts := map[Decision]int{}
	for range 3 {
		v, after := w.RemoveWaiter("a", t0.Add(5*ms))
		verdicts[v]++
		if v == Refused && after != 25*ms {
			t.Errorf("come back after %s", after)
		}
	}
	if verdicts[Admitted] != 2 || verdicts[Refused] != 1 {
		t.Errorf("verdicts %v", verdicts)
	}
}

// A host whose callers have gone gives its portion back, asks no more, and forgets the account in the end.
func TestIdleAccountsAreRemoved(t *testing.T) {
	w := NewLimiter()
	w.Follow(5)
	for range 4 {
		w.Begin("a", quota40, t0)
	}
	in, _ := w.NextRequest(t0)
	w.HandleResponse(in.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 1, Rate: 1, Cap: 1, TTL: PortionTTL}}}, t0)
	at := t0.Add(keepaliveInterval)
	if in, _ = w.NextRequest(at); in.ID == 0 || len(in.Accounts) != 0 || in.LastAnswered != 1 {
		t.Errorf("a host that holds a portion asks %+v", in)
	}
	w.HandleResponse(in.ID, 5, Response{Suspended: true}, at)
	at = at.Add(2 * demandTimeConstant)
	if in, _ = w.NextRequest(at); len(in.Accounts) != 1 || in.Accounts[0].Demand > 0.5 {
		t.Errorf("it does not give the portion back: %+v", in)
	}
	w.HandleResponse(in.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 2, TTL: PortionTTL}}}, at)
	if in, ok := w.NextRequest(at.Add(refreshInterval)); ok {
		t.Errorf("it asks for an account of which it holds nothing and that nobody uses: %+v", in)
	}
	w.RemoveIdle(at.Add(2 * PortionTTL))
	if len(w.accounts) != 0 {
		t.Error("the account is remembered")
	}
}

// An operation that has not run gives its token back to the granter, once.
func TestReturnedTokens(t *testing.T) {
	w := NewLimiter()
	w.Follow(5)
	w.Begin("a", quota40, t0)
	w.AddWaiter("a")
	w.ReturnToken("a")
	if in, _ := w.NextRequest(t0); in.Accounts[0].Returned != 1 {
		t.Errorf("asks %+v", in)
	}
	w.Abandon(1)
	if in, _ := w.NextRequest(t0.Add(time.Second)); in.Accounts[0].Returned != 0 {
		t.Errorf("a token that the granter may have got is given back again: %+v", in)
	}
}

// While the granter is reached, tokens come from it alone. Once it is not, they come by themselves.
func TestPortionsActivateWithoutTheGranter(t *testing.T) {
	w := NewLimiter()
	w.Follow(5)
	w.Begin("a", quota40, t0)
	w.AddWaiter("a")
	in, _ := w.NextRequest(t0)
	w.HandleResponse(in.ID, 5, Response{Suspended: true, Grants: []Grant{{Account: "a", Serial: 1, Rate: 10, Cap: 2, TTL: PortionTTL, Tokens: 1}}}, t0)
	w.RemoveWaiter("a", t0)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{activateAfter - ms, 0}, {activateAfter + 101*ms, 1}, {activateAfter + 10*time.Second, 2}, {PortionTTL, 0}} {
		n := 0
		for at := t0.Add(c.after); n < 9; n++ {
			if v, _ := w.tryTake("a", w.accounts["a"], at); v != Admitted {
				break
			}
		}
		if n != c.want {
			t.Errorf("%s after the last answer %d operations begin, want %d", c.after, n, c.want)
		}
	}
}
