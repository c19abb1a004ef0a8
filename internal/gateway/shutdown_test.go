package gateway

import (
	"context"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/shutdown"
)

// doUntilShutdown runs a statement in the session as the listener of callers does, and enters the phase after the delay.
func doUntilShutdown(s *Session, st Statement, p shutdown.Phase, delay time.Duration) Reply {
	timer := time.AfterFunc(delay, func() { s.host.EnterShutdown(p) })
	defer timer.Stop()
	return s.Do(s.host.PassingOn(), Request{ID: "late", Statement: st})
}

// Guards against a stopping host that passes on a commit after half of the grace.
func TestCommitAfterHalfOfTheGraceIsRefused(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		c := openSession(t, h)
		execIn(c, Begin{})
		execIn(c, Write{})
		before := len(s.ran("a"))
		h.EnterShutdown(shutdown.EndingTransactions)
		r := execIn(c, Commit{})
		wantCode(t, r, Aborted)
		if r.State != Idle || len(s.ran("a")) != before {
			t.Errorf("the commit was passed on, or the transaction is open: state %s", r.State)
		}
	})
}

// Guards against a statement that is cut off, or reported as unknown, although its member answers within the grace.
func TestRunningStatementIsAwaited(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.updateMember("a", func(m *fakeMember) { m.work = 40 * time.Millisecond })
		if r := doUntilShutdown(openSession(t, h), Write{}, shutdown.EndingTransactions, 20*time.Millisecond); r.Failure != nil {
			t.Errorf("a running write: %v", r.Failure)
		}
	})
}

// Guards against a statement that waits for a member until its deadline although nothing is passed on any more.
func TestWaitingStatementIsRefusedAtOnce(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		s.updateMember("a", func(m *fakeMember) { m.full = true })
		began := time.Now()
		r := doUntilShutdown(openSession(t, h), Write{}, shutdown.EndingTransactions, 10*time.Millisecond)
		wantCode(t, r, Busy)
		if r.Failure != nil && r.Failure.Detail != stoppingDetail {
			t.Errorf("refused with %q", r.Failure.Detail)
		}
		if took := time.Since(began); took > 30*time.Millisecond {
			t.Errorf("refused after %s", took)
		}
	})
}

// Guards against single statements and new transactions on a host whose sessions end.
func TestSingleStatementIsRefusedWhileSessionsEnd(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		open := openSession(t, h)
		execIn(open, Begin{})
		h.EnterShutdown(shutdown.EndingSessions)
		wantCode(t, execIn(openSession(t, h), Write{}), Busy)
		wantCode(t, execIn(openSession(t, h), Begin{}), Busy)
		for _, st := range []Statement{Write{}, Commit{}} {
			if r := execIn(open, st); r.Failure != nil {
				t.Errorf("%T in an open transaction: %v", st, r.Failure)
			}
		}
	})
}

// Guards against a promise that nothing is kept for a request that may have taken effect.
func TestUnknownReply(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		single, open, readOnly := openSession(t, h), openSession(t, h), openSession(t, h)
		execIn(single, Prepare{"w", PreparedStatement{Writes: true, Text: "q"}})
		execIn(open, Begin{})
		execIn(readOnly, Begin{ReadOnly: true})
		for _, c := range []struct {
			session *Session
			st      Statement
			want    Code
		}{
			{single, Write{}, InDoubt}, {single, Execute{Name: "w"}, InDoubt}, {single, Read{}, TimedOut}, {single, Begin{}, Busy},
			{open, Write{}, Aborted}, {open, Read{}, Aborted}, {open, Commit{}, InDoubt}, {readOnly, Commit{}, Aborted},
		} {
			wantCode(t, c.session.UnknownReply(Request{Statement: c.st}), c.want)
		}
	})
}

// Guards against a stopping host that commits a forwarded transaction after half of the grace.
func TestForwardedTransactionEndsAtHalfOfTheGrace(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, _ := f.serving()
		session := serving[0].NewForwardedSession()
		r := &PeerRequest{
			From: "other", Serial: 1, Group: testGroup, Begin: &Begin{},
			Route:   Route{Class: freshness.Latest{}, Timeout: time.Second},
			Request: Request{ID: "x", Statement: Write{}},
		}
		if declined := session.Accept(r); declined != nil {
			t.Fatalf("%+v", declined)
		}
		if reply := session.Run(context.Background(), r); reply.Reply.Failure != nil {
			t.Fatalf("%+v", reply)
		}
		serving[0].EnterShutdown(shutdown.EndingTransactions)
		commit := &PeerRequest{From: "other", Serial: 2, Group: testGroup, Continues: true, Route: r.Route, Request: Request{ID: "y", Statement: Commit{}}}
		if declined := session.Accept(commit); declined == nil || declined.Declined != NoTransaction {
			t.Errorf("the commit was not declined: %+v", declined)
		}
		session.Close()
		if n := serving[0].ForwardedCount(); n != 0 {
			t.Errorf("%d forwarded requests or transactions are left", n)
		}
	})
}
