package quota

import (
	"testing"
	"time"
)

// An answer is late: the host has asked again since, and the granter has counted the first answer as lost. Taken
// now, it would give the host two portions.
func TestOnlyTheLastAnswerIsTaken(t *testing.T) {
	w := NewWallet()
	w.Follow(5)
	w.Begin("a", forty, t0)
	first, _ := w.Inquire(t0)
	w.Abandon(first.ID)
	second, ok := w.Inquire(t0.Add(time.Second))
	if !ok {
		t.Fatal("it does not ask again")
	}
	grants := []Grant{{Account: "a", Serial: 1, Rate: 9, Cap: 5, Lasts: Lifetime}}
	if w.Receive(first.ID, 5, grants, t0.Add(time.Second)) {
		t.Error("the late answer was taken")
	}
	if !w.Receive(second.ID, 5, grants, t0.Add(time.Second)) || w.Receive(second.ID, 5, grants, t0.Add(time.Second)) {
		t.Error("the answer was not taken once")
	}
}

// A host that has told a granter what it holds takes no answer that was under way, and none of earlier granters.
func TestWhoHasToldTakesNothingFromBefore(t *testing.T) {
	s := NewShard()
	s.Follow(5)
	s.Begin("a", forty, t0)
	in, _ := s.Inquire(t0)
	s.Grant(NewLedger(5, strict, t0, nil))
	if _, ok := s.Tell(6, t0); !ok || s.Ledger() != nil {
		t.Errorf("told %v, still a granter: %v", ok, s.Ledger() != nil)
	}
	grants := []Grant{{Account: "a", Serial: 1, Rate: 9, Cap: 5, Lasts: Lifetime}}
	if s.Receive(in.ID, 5, grants, t0) {
		t.Error("the answer under way was taken")
	}
	if _, ok := s.Tell(5, t0); ok {
		t.Error("an earlier granter was told")
	}
	s.Begin("a", forty, t0)
	if in, _ := s.Inquire(t0.Add(time.Second)); in.Token != 6 {
		t.Errorf("asks with the token %d", in.Token)
	}
}

// Operations that wait get the tokens that were handed out for them, even where the host may keep none.
func TestTokensForWaitingOperations(t *testing.T) {
	w := NewWallet()
	w.Follow(5)
	for range 3 {
		w.Begin("a", forty, t0)
		w.Wait("a")
	}
	in, _ := w.Inquire(t0)
	if q := in.Questions[0]; q.Waiting != 3 {
		t.Errorf("asks for %d", q.Waiting)
	}
	w.Receive(in.ID, 5, []Grant{{Account: "a", Serial: 1, Lasts: Lifetime, Tokens: 2, After: 30 * ms}}, t0)
	verdicts := map[Verdict]int{}
	for range 3 {
		v, after := w.Leave("a", t0.Add(5*ms))
		verdicts[v]++
		if v == Refused && after != 25*ms {
			t.Errorf("come back after %s", after)
		}
	}
	if verdicts[Admitted] != 2 || verdicts[Refused] != 1 {
		t.Errorf("verdicts %v", verdicts)
	}
}

// A host whose callers have gone asks no more, and forgets the account in the end.
func TestRestingAccountsAreForgotten(t *testing.T) {
	w := NewWallet()
	w.Follow(5)
	w.Begin("a", forty, t0)
	in, _ := w.Inquire(t0)
	w.Receive(in.ID, 5, []Grant{{Account: "a", Serial: 1, Rate: 1, Cap: 1, Lasts: Lifetime}}, t0)
	if _, ok := w.Inquire(t0.Add(renewal)); !ok {
		t.Error("the portion is not renewed")
	}
	if _, ok := w.Inquire(t0.Add(restTime)); ok {
		t.Error("it asks for an account that nobody uses")
	}
	w.Forget(t0.Add(2 * Lifetime))
	if len(w.purses) != 0 {
		t.Error("the account is remembered")
	}
}

// An operation that has not run gives its token back, and no more than the host may keep.
func TestReturnedTokens(t *testing.T) {
	var b Bucket
	b.Receive(Grant{Serial: 1, Cap: 2, Lasts: Lifetime, Tokens: 2}, t0, t0)
	take := func() (n int) {
		for b.Take(t0) {
			n++
		}
		return n
	}
	if n := take(); n != 2 {
		t.Errorf("two tokens were %d operations", n)
	}
	for range 3 {
		b.Return(t0)
	}
	if n := take(); n != 2 {
		t.Errorf("what was given back is %d operations, the host may keep 2", n)
	}
}
