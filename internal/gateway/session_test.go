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
		t.Errorf("answered with %v, want %s", r.Failure, want)
	}
}

func openSession(t *testing.T, h *Host) *Session {
	t.Helper()
	s, failure := h.Open(testDatabase, account.Caller{})
	if failure != nil {
		t.Fatal(failure)
	}
	return s
}

// Two callers share a connection, each with a value of its own under the same name, and
// a third has none. Each must see its own value, and the third no one's.
func TestSessionValuesStayWithTheirSession(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		one, two, none := openSession(t, h), openSession(t, h), openSession(t, h)
		execIn(one, Set{"v", "1"})
		execIn(two, Set{"v", "2"})
		for range 3 {
			for want, s := range map[string]*Session{"a v=1": one, "a v=2": two, "a": none} {
				if got := joinedRows(execIn(s, Read{})); got != want {
					t.Errorf("read %q, want %q", got, want)
				}
			}
		}
	})
}

// Callers give the same name to different statements. Each must run its own.
func TestPreparedNamesStayWithTheirSession(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		one, two := openSession(t, h), openSession(t, h)
		execIn(one, Prepare{"s", PreparedStatement{Text: "boards"}})
		execIn(two, Prepare{"s", PreparedStatement{Text: "suits"}})
		for range 3 {
			if got := joinedRows(execIn(one, Execute{Name: "s"})); got != "a boards" {
				t.Errorf("ran %q", got)
			}
			if got := joinedRows(execIn(two, Execute{Name: "s"})); got != "a suits" {
				t.Errorf("ran %q", got)
			}
		}
		execIn(one, Deallocate{"s"})
		wantCode(t, execIn(one, Execute{Name: "s"}), UnknownStatement)
	})
}

// rowFromWarmConns reads until the connections that reads prefer are open.
func rowFromWarmConns(h *Host) string {
	for range 3 {
		exec(h, Read{})
		time.Sleep(20 * time.Millisecond)
	}
	return joinedRows(exec(h, Read{}))
}

// A chef saves a recipe and looks it up. The replicas have not applied the save yet, so
// the primary must answer; a caller that wrote nothing is served by a replica.
func TestReadSeesOwnWrite(t *testing.T) {
	withHost(t, freshness.OwnWrites{}, func(s *fakeSite, h *Host) {
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.lagging = true })
		}
		chef := openSession(t, h)
		execIn(chef, Write{})
		if got := joinedRows(execIn(chef, Read{})); got != "a" {
			t.Errorf("the read after the write ran on %q", got)
		}
		if got := rowFromWarmConns(h); got == "a" {
			t.Error("a read without a write before it burdened the primary")
		}
	})
}

// A canteen accepts an answer of two seconds' age. While the replicas are further
// behind than that, the primary must answer.
func TestBoundedAgeHoldsOnLaggingReplicas(t *testing.T) {
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
			t.Error("a replica within the age was not used")
		}
		time.Sleep(2500 * time.Millisecond)
		if got := joinedRows(exec(h, Read{})); got != "a" {
			t.Errorf("data older than accepted came from %q", got)
		}
	})
}

// Another host takes the promotions of a group over and replaces the primary, which is cut
// off from the other members. It still says that it leads, takes transactions and answers
// plain reads. A caller that asks for the latest must not get its old data.
func TestLatestReadsNeverComeFromAReplacedPrimary(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		exec(h, Write{})
		s.updateMember("a", func(m *fakeMember) { m.partitioned = true })
		s.put(h.coordinatorKey(testGroup), []byte("h2"), 0)
		time.Sleep(leadership.LeaseDuration) // the other holder waits for the leases
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

// The answer to a deposit is lost after the member ran it. The caller must not be told
// that nothing was kept, and the deposit must not run again.
func TestLostAnswerOfAWriteIsInDoubtAndNotRepeated(t *testing.T) {
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

// The answer to a lookup is lost. Nothing was changed, so another member answers it.
func TestLostReadReplyIsRetriedElsewhere(t *testing.T) {
	withHost(t, freshness.OwnWrites{}, func(s *fakeSite, h *Host) {
		for _, m := range s.members {
			s.updateMember(m.id, func(m *fakeMember) { m.breaksAfter = 1 })
		}
		if r := exec(h, Read{}); r.Failure != nil {
			t.Errorf("the read failed: %v", r.Failure)
		}
	})
}

// A connection breaks in the middle of a transaction. Before the caller has seen any
// answer the transaction is begun anew; later it is aborted, which is a promise: the
// member rolls back, and no commit was sent.
func TestFailedTransaction(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		k := openSession(t, h)
		execIn(k, Begin{})
		s.updateMember("a", func(m *fakeMember) { m.breaksAfter = 1 })
		if r := execIn(k, Write{}); r.Failure != nil {
			t.Errorf("the first statement was not offered again: %v", r.Failure)
		}
		s.updateMember("a", func(m *fakeMember) { m.breaksAfter = 1 })
		r := execIn(k, Write{})
		wantCode(t, r, Aborted)
		if r.State != InFailedTransaction {
			t.Errorf("state %s", r.State)
		}
		wantCode(t, execIn(k, Read{}), Malformed)
		if r := execIn(k, Rollback{}); r.Failure != nil || r.State != Idle {
			t.Errorf("rollback: %+v", r)
		}
	})
}

// The answer to a commit is lost. With writes in it, its outcome is not known; without
// any, there was nothing to keep.
func TestLostAnswerOfACommit(t *testing.T) {
	for _, c := range []struct {
		statement Statement
		want      Code
	}{{Write{}, InDoubt}, {Read{}, Aborted}} {
		withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
			k := openSession(t, h)
			execIn(k, Begin{})
			execIn(k, c.statement)
			s.updateMember("a", func(m *fakeMember) { m.breaksAfter = 1 })
			r := execIn(k, Commit{})
			wantCode(t, r, c.want)
			if r.State != Idle {
				t.Errorf("state %s after the commit", r.State)
			}
		})
	}
}

// An instructor opens a transaction and pauses before the first statement, and another
// one leaves a transaction open. Neither may keep a connection for long.
func TestIdleTransactionsHoldNoConnection(t *testing.T) {
	withHost(t, freshness.Latest{}, func(_ *fakeSite, h *Host) {
		k := openSession(t, h)
		execIn(k, Begin{})
		if n := connsInUse(h); n != 0 {
			t.Errorf("%d connections in use after a begin", n)
		}
		execIn(k, Write{})
		if n := connsInUse(h); n != 1 {
			t.Errorf("%d connections in use in a transaction", n)
		}
		k.Expire()
		if n := connsInUse(h); n != 0 {
			t.Errorf("%d connections in use after the transaction expired", n)
		}
		wantCode(t, execIn(k, Commit{}), Aborted)
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

// No primary can be had. Statements that need one are refused well before the caller's
// time is up, told when to come back, and have certainly not run.
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
			t.Errorf("the refusal %q doesn't say when to come back", r.Failure.Detail)
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
		if _, f := h.Open("nobody", account.Caller{}); f == nil || f.Code != NoDatabase {
			t.Errorf("Open = %v", f)
		}
	})
}

// Many callers come to three hosts at once, unevenly. The members' connections are
// counted over all hosts, and must not be exceeded although the hosts don't talk.
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

// serveBurst sends callers to the hosts at once and returns how many were served.
func serveBurst(hosts []*Host, callers []int) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i, h := range hosts {
		for j := range callers[i] {
			wait.Go(func() {
				k, failure := h.Open(testDatabase, account.Caller{})
				if failure != nil {
					return
				}
				defer k.Close()
				r := k.Do(context.Background(), Request{ID: fmt.Sprint(i, "-", j), Statement: Read{}})
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

// Both replicas apply the log far too late, so all reads come to the primary, which is
// at its limit. Another member must take over: the promoted one is up to date at once,
// and the old primary serves reads as a replica.
func TestOverloadedPrimaryIsRelievedWhileReplicasLag(t *testing.T) {
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
