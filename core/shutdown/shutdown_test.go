package shutdown

import (
	"testing"
	"time"
)

// Guards against phases that begin out of order or leave no time for answers, also with a short grace.
func TestScheduleFitsGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, time.Minute} {
		s := NewSchedule(grace)
		last := Running
		for at := time.Duration(0); at < grace; at += grace / 1000 {
			p := s.Phase(at)
			if p < last {
				t.Errorf("grace %s: phase %s follows %s", grace, p, last)
			}
			last = p
		}
		if p := s.Phase(grace/2 - 1); p >= EndingTransactions {
			t.Errorf("grace %s: transactions have less than half of it", grace)
		}
		if p := s.Phase(grace*5/6 - time.Millisecond); p >= AnsweringUnknown {
			t.Errorf("grace %s: members have less than five sixths of it to answer", grace)
		}
		if s.Exit() >= grace || s.Phase(s.Exit()-1) != AnsweringUnknown {
			t.Errorf("grace %s: exit at %s", grace, s.Exit())
		}
	}
}

func TestUntilNextEndsPhase(t *testing.T) {
	s := NewSchedule(6 * time.Second)
	var at time.Duration
	for _, want := range []Phase{Announcing, EndingSessions, EndingTransactions, AnsweringUnknown} {
		if p := s.Phase(at); p != want {
			t.Errorf("phase %s at %s, want %s", p, at, want)
		}
		at += s.UntilNext(at)
	}
	if at != s.Exit() || s.UntilNext(at) != 0 {
		t.Errorf("the phases end at %s, want %s", at, s.Exit())
	}
}

// Guards against a session for which no phase of the shutdown has an end.
func TestDecide(t *testing.T) {
	const sessions, transactions, unknown = EndingSessions, EndingTransactions, AnsweringUnknown
	for a, want := range map[Activity]map[Phase]Action{
		Idle:                {sessions: EndSession, transactions: EndSession, unknown: EndSession},
		InTransaction:       {sessions: Wait, transactions: EndTransaction, unknown: EndTransaction},
		InFailedTransaction: {sessions: Wait, transactions: EndTransaction, unknown: EndTransaction},
		Receiving:           {sessions: LimitWait, transactions: LimitWait, unknown: LimitWait},
		Executing:           {sessions: Wait, transactions: Wait, unknown: AnswerUnknown},
		Replying:            {sessions: Wait, transactions: Wait, unknown: LimitWait},
		Leaving:             {sessions: Wait, transactions: Wait, unknown: LimitWait},
	} {
		for p := Running; p <= AnsweringUnknown; p++ {
			if got := Decide(p, a); got != want[p] {
				t.Errorf("%s, %s: %s, want %s", p, a, got, want[p])
			}
		}
	}
}

// Guards against statements that run after the callers of their transactions can be told the outcome.
func TestAdmits(t *testing.T) {
	for p, want := range map[Phase]struct{ single, inTransaction, passesOn bool }{
		Running: {true, true, true}, Announcing: {true, true, true}, EndingSessions: {false, true, true},
		EndingTransactions: {}, AnsweringUnknown: {},
	} {
		if p.Admits(false) != want.single || p.Admits(true) != want.inTransaction || p.PassesOn() != want.passesOn {
			t.Errorf("%s: single %t, in a transaction %t, passed on %t", p, p.Admits(false), p.Admits(true), p.PassesOn())
		}
	}
}
