package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
	"pearlatch/core/leadership"
)

func joinedRows(r Reply) string { return strings.Join(r.Rows, ",") }

func wantCode(t *testing.T, r Reply, want Code) {
	t.Helper()
	if r.Failure == nil || r.Failure.Code != want {
		t.Errorf("reply failed with %v, want %s", r.Failure, want)
	}
}

func openSession(t *testing.T, h *Host) *Session {
	t.Helper()
	s, failure := h.Open(testDatabase, account.Credentials{})
	if failure != nil {
		t.Fatal(failure)
	}
	return s
}

// Sessions share connections. Two set different values under the same name and a third sets none.
// If values remained on a connection, one session would see another's.
func TestSessionValuesStayWithTheirSession(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		first, second, third := openSession(t, h), openSession(t, h), openSession(t, h)
		execIn(first, Set{"v", "1"})
		execIn(second, Set{"v", "2"})
		for range 3 {
			for want, s := range map[string]*Session{"a v=1": first, "a v=2": second, "a": third} {
				if got := joinedRows(execIn(s, Read{})); got != want {
					t.Errorf("read %q, want %q", got, want)
				}
			}
		}
	})
}

// Two sessions on shared connections prepare different statements under the same name. Each must
// run its own.
func TestPreparedNamesStayWithTheirSession(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		first, second := openSession(t, h), openSession(t, h)
		execIn(first, Prepare{"s", PreparedStatement{Text: "boards"}})
		execIn(second, Prepare{"s", PreparedStatement{Text: "suits"}})
		for range 3 {
			if got := joinedRows(execIn(first, Execute{Name: "s"})); got != "a boards" {
				t.Errorf("ran %q", got)
			}
			if got := joinedRows(execIn(second, Execute{Name: "s"})); got != "a suits" {
				t.Errorf("ran %q", got)
			}
		}
		execIn(first, Deallocate{"s"})
		wantCode(t, execIn(first, Execute{Name: "s"}), UnknownPrepared)
	})
}

// rowFromWarmConns reads until the connections that reads prefer are open, and returns the row of
// a further read.
func rowFromWarmConns(h *Host) string {
	for range 3 {
		exec(h, Read{})
		time.Sleep(20 * time.Millisecond)
	}
	return joinedRows(exec(h, Read{}))
}

// A session writes and then reads while no replica has applied the write. The primary must answer.
// A session that has not written is served by a replica.
func TestReadSeesOwnWrite(t *testing.T) {
	withHost(t, freshness.OwnWrites{}, func(s *fakeSite, h *Host) {
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.lagging = true })
		}
		session := openSession(t, h)
		execIn(session, Write{})
		if got := joinedRows(execIn(session, Read{})); got != "a" {
			t.Errorf("the read after the write ran on %q", got)
		}
		if got := rowFromWarmConns(h); got == "a" {
			t.Error("a read without a preceding write ran on the primary")
		}
	})
}

// A route accepts data of a maximum age of two seconds. While the replicas are further behind, the
// primary must answer.
func TestMaxAgeHoldsOnLaggingReplicas(t *testing.T) {
	withHost(t, freshness.MaxAge{Age: 2 * time.Second}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		if got := rowFromWarmConns(h); got == "a" {
			t.Error("a fresh replica was not used")
		}
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.lagging = true })
		}
		exec(h, Write{})
		exec(h, Write{})
		if got := joinedRows(exec(h, Read{})); got == "a" {
			t.Error("a replica within the maximum age was not used")
		}
		time.Sleep(2500 * time.Millisecond)
		if got := joinedRows(exec(h, Read{})); got != "a" {
			t.Errorf("data older than the maximum age came from %q", got)
		}
	})
}

// Another host takes over a group's promotions and replaces the primary, which is partitioned from
// the other members. The old primary still claims to lead, accepts transactions and answers plain
// reads. A caller that requires the latest data must not get its stale data.
func TestLatestReadsNeverComeFromAReplacedPrimary(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
		s.put(h.coordinatorKey(testGroup), []byte("h2"), 0)
		time.Sleep(leadership.LeaseDuration) // the new coordinator waits until the leases have ended
		s.makePrimary(s.member("b"))
		if got := s.primaryID(); got != "b" {
			t.Fatalf("%q leads", got)
		}
		for range 20 {
			if r := exec(h, Read{}); r.Failure == nil && joinedRows(r) != "b" {
				t.Errorf("the read ran on %q", joinedRows(r))
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// The reply to a write is lost after the member has run it. The caller must not be told that
// nothing was kept, and the write must not run again.
func TestLostReplyToWriteIsInDoubtAndNotRepeated(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.breaksAfter = 1; m.runs = nil })
		wantCode(t, exec(h, Write{}), InDoubt)
		time.Sleep(time.Second)
		if n := len(s.ran("a")); n != 1 {
			t.Errorf("the write ran %d times", n)
		}
	})
}

// The reply to a read is lost. The read changed nothing, so it is retried on another member.
func TestLostReplyToReadIsRetriedElsewhere(t *testing.T) {
	withHost(t, freshness.OwnWrites{}, func(s *fakeSite, h *Host) {
		for _, m := range s.members {
			s.updateMember(m.id, func(m *fakeMember) { m.breaksAfter = 1 })
		}
		if r := exec(h, Read{}); r.Failure != nil {
			t.Errorf("the read failed: %v", r.Failure)
		}
	})
}

// A connection breaks during a transaction. If the caller has no reply yet, the transaction begins
// again. Later it is aborted, which guarantees that nothing is kept: the member rolls back, and no
// commit was sent.
func TestFailedTransaction(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		session := openSession(t, h)
		execIn(session, Begin{})
		s.updateMember("a", func(m *fakeMember) { m.breaksAfter = 1 })
		if r := execIn(session, Write{}); r.Failure != nil {
			t.Errorf("the first statement was not retried: %v", r.Failure)
		}
		s.updateMember("a", func(m *fakeMember) { m.breaksAfter = 1 })
		r := execIn(session, Write{})
		wantCode(t, r, Aborted)
		if r.State != InFailedTransaction {
			t.Errorf("state %s", r.State)
		}
		wantCode(t, execIn(session, Read{}), Malformed)
		if r := execIn(session, Rollback{}); r.Failure != nil || r.State != Idle {
			t.Errorf("rollback: %+v", r)
		}
	})
}

// The reply to a commit is lost. If the transaction wrote, its outcome is unknown; otherwise there
// was nothing to keep.
func TestLostReplyToCommit(t *testing.T) {
	for _, c := range []struct {
		statement Statement
		want      Code
	}{{Write{}, InDoubt}, {Read{}, Aborted}} {
		withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
			session := openSession(t, h)
			execIn(session, Begin{})
			execIn(session, c.statement)
			s.updateMember("a", func(m *fakeMember) { m.breaksAfter = 1 })
			r := execIn(session, Commit{})
			wantCode(t, r, c.want)
			if r.State != Idle {
				t.Errorf("state %s after the commit", r.State)
			}
		})
	}
}

// A caller begins a transaction and sends no statement, or leaves a transaction open. Neither may
// keep a connection for long.
func TestIdleTransactionsHoldNoConnection(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		session := openSession(t, h)
		execIn(session, Begin{})
		if n := connsInUse(h); n != 0 {
			t.Errorf("%d connections in use after a begin", n)
		}
		execIn(session, Write{})
		if n := connsInUse(h); n != 1 {
			t.Errorf("%d connections in use in a transaction", n)
		}
		session.Expire()
		if n := connsInUse(h); n != 0 {
			t.Errorf("%d connections in use after the transaction expired", n)
		}
		wantCode(t, execIn(session, Commit{}), Aborted)
	})
}

func connsInUse(h *Host) int {
	n := 0
	for _, g := range h.Snapshot().Groups {
		for _, m := range g.Members {
			n += m.InUse
		}
	}
	return n
}

// No primary is available. Statements that need one are refused well before the caller's deadline
// and with a retry-after time, and have certainly not run.
func TestWritesAreRefusedInTimeWithoutPrimary(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		for _, m := range s.members {
			s.updateMember(m.id, func(m *fakeMember) { m.crashed = true; m.runs = nil })
		}
		started := time.Now()
		r := exec(h, Write{})
		wantCode(t, r, Busy)
		if took := time.Since(started); took > 300*time.Millisecond {
			t.Errorf("the refusal took %s", took)
		}
		if !strings.Contains(r.Failure.Detail, "retry_after_ms=") {
			t.Errorf("the refusal %q has no retry-after time", r.Failure.Detail)
		}
		for _, m := range s.members {
			if runs := s.ran(m.id); len(runs) > 0 {
				t.Errorf("%s ran %v", m.id, runs)
			}
		}
	})
}

func TestUnknownDatabase(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		if _, f := h.Open("nobody", account.Credentials{}); f == nil || f.Code != NoDatabase {
			t.Errorf("Open = %v", f)
		}
	})
}

// Many callers connect to three hosts at once, unevenly. The members' connection limits apply to
// all hosts together, and must hold although the hosts don't communicate.
func TestHostsStayWithinTheMembersConnections(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		var hosts []*Host
		var stops []func()
		for i := range 3 {
			h, stop := startHost(s, fmt.Sprint("h", i), freshness.OwnWrites{})
			hosts, stops = append(hosts, h), append(stops, stop)
		}
		time.Sleep(3 * time.Second)
		served := serveBurst(hosts, []int{60, 10, 10})
		if served < 60 {
			t.Errorf("%d of 80 callers were served", served)
		}
		if n := s.peakConnections(); n > s.maxConns {
			t.Errorf("%d connections to a member that takes %d", n, s.maxConns)
		}
		for _, stop := range stops {
			stop()
		}
		time.Sleep(10 * time.Second)
	})
}

// serveBurst sends reads of many callers to the hosts at once, callers[i] of them to hosts[i], and
// returns how many were served.
func serveBurst(hosts []*Host, callers []int) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i, h := range hosts {
		for j := range callers[i] {
			wait.Go(func() {
				session, failure := h.Open(testDatabase, account.Credentials{})
				if failure != nil {
					return
				}
				defer session.Close()
				r := session.Do(context.Background(), Request{ID: fmt.Sprint(i, "-", j), Statement: Read{}})
				if r.Failure == nil {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	}
	wait.Wait()
	return served
}

// Both replicas apply the log far too late, so all reads go to the primary, which is overloaded.
// Another member must be promoted: it is up to date at once, and the old primary serves reads as a
// replica.
func TestOverloadedPrimaryIsReplacedWhileReplicasLag(t *testing.T) {
	withHost(t, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, h *Host) {
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.lagging = true })
		}
		var wait sync.WaitGroup
		started := time.Now()
		for range 8 {
			wait.Go(func() {
				for time.Since(started) < 5*time.Second {
					serveBurst([]*Host{h}, []int{1})
				}
			})
		}
		sendWrites(h, 90)
		wait.Wait()
		if s.primaryID() == "a" {
			t.Error("the overloaded primary still leads")
		}
		wantNoLostWrites(t, s)
	})
}
