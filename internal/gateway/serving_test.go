package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

// Thirty hosts use members that accept twenty connections. If each host opened a connection to every member, a third of the
// connections would be rejected repeatedly. Instead a few hosts serve the group, and all others forward their callers'
// statements to these.
func TestFewHostsServeForAll(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		if len(serving) != 2 {
			t.Fatalf("%d of %d hosts serve", len(serving), len(serving)+len(others))
		}
		for _, h := range f.all() {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("a write at %s: %v", h.settings.Host, r.Failure)
			}
			if r := exec(h, Read{}); joinedRows(r) != "a" {
				t.Errorf("a read at %s: %v", h.settings.Host, r.Failure)
			}
		}
		if most := s.peakConnections(); most > 20 {
			t.Errorf("a member had %d connections", most)
		}
	})
}

// A session writes and then reads, both through another host, while the replicas have not applied the write. The position
// of the session's last write must be sent with the read, so that it runs on the primary.
func TestForwardedReadSeesOwnWrite(t *testing.T) {
	withFleet(t, 30, 20, freshness.OwnWrites{}, func(s *fakeSite, f *fakeFleet) {
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.lagging = true })
		}
		_, others := f.serving()
		session := openSession(t, others[0])
		execIn(session, Write{})
		if session.lastWrite == (group.Position{}) {
			t.Error("the session does not know the position of its write")
		}
		if got := joinedRows(execIn(session, Read{})); got != "a" {
			t.Errorf("the read after the write ran on %q", got)
		}
	})
}

// A transaction with a session value and a prepared statement runs through another host. It must use one connection and the
// caller's values, and nothing may stay open after its end.
func TestTransactionThroughAnotherHost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		_, others := f.serving()
		caller := openSession(t, others[0])
		execIn(caller, Set{"v", "7"})
		execIn(caller, Prepare{"s", PreparedStatement{Writes: true, Text: "boards"}})
		execIn(caller, Begin{})
		if got := joinedRows(execIn(caller, Read{})); got != "a v=7" {
			t.Errorf("a read in the transaction gave %q", got)
		}
		execIn(caller, Execute{Name: "s"})
		if r := execIn(caller, Commit{}); r.Failure != nil || r.State != Idle {
			t.Errorf("commit: %+v", r)
		}
		execIn(caller, Begin{})
		execIn(caller, Write{})
		if r := execIn(caller, Rollback{}); r.Failure != nil || r.State != Idle {
			t.Errorf("rollback: %+v", r)
		}
		f.wantNoForwardedWork(t)
	})
}

// A statement fails in a transaction that runs on another host. Further statements must be rejected until the caller ends
// the transaction, and the connection must be released immediately.
func TestFailedTransactionThroughAnotherHost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		_, others := f.serving()
		caller := openSession(t, others[0])
		execIn(caller, Begin{})
		execIn(caller, Read{})
		wantCode(t, execIn(caller, Execute{Name: "nothing"}), UnknownPrepared)
		wantCode(t, execIn(caller, Read{}), Malformed)
		wantCode(t, execIn(caller, Commit{}), Aborted)
		if r := execIn(caller, Read{}); r.Failure != nil {
			t.Errorf("after the end: %v", r.Failure)
		}
		f.wantNoForwardedWork(t)
	})
}

// A host that serves the group becomes unreachable. Callers of other hosts must not wait until their statements time out:
// the next serving host must run them.
func TestUnreachableServerIsAbandonedAtOnce(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		f.setFault(f.unreachable, serving[0].settings.Host, true)
		for _, h := range others {
			started := time.Now()
			if r := exec(h, Read{}); r.Failure != nil {
				t.Errorf("at %s: %v", h.settings.Host, r.Failure)
			}
			if took := time.Since(started); took > 450*time.Millisecond {
				t.Errorf("at %s it took %s", h.settings.Host, took)
			}
		}
	})
}

// A stream to a serving host loses a write. The write must be retried on another host, and the first one must not run if it
// arrives later.
func TestUndeliveredWriteIsRetried(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		h := others[0]
		for range 3 {
			exec(h, Read{}) // until the processes of both hosts are known
			time.Sleep(10 * time.Millisecond)
		}
		first := h.group(testGroup).loads.Servers().Hosts[0]
		f.setFault(f.losesRequests, first.ID, true)
		if r := exec(h, Write{}); r.Failure != nil {
			t.Errorf("the write: %v", r.Failure)
		}
		for _, server := range serving {
			if server.settings.Host != first.ID {
				continue
			}
			late := &PeerRequest{From: h.processID, Serial: h.requestSerial.Load() - 1, Group: testGroup, Route: Route{Class: freshness.Latest{}, Timeout: time.Second}, Request: Request{ID: "late", Statement: Write{}}}
			if declined := server.NewForwardedSession().Accept(late); declined == nil || declined.Declined != ReportedUnknown {
				t.Error("the write was taken after its sender was told that it had not run")
			}
		}
		if slices.Contains(s.ran("a"), "late") {
			t.Error("the late write ran")
		}
	})
}

// A stream loses the reply of a write that has run. The caller must still receive the reply, and the write must run only
// once.
func TestLostReplyOfOtherHostIsQueried(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		for _, server := range serving {
			f.setFault(f.losesReplies, server.settings.Host, true)
		}
		ran := len(s.ran("a"))
		if r := exec(others[0], Write{}); r.Failure != nil || r.Signature == "" {
			t.Errorf("the write: %+v", r)
		}
		if got := len(s.ran("a")) - ran; got != 1 {
			t.Errorf("the write ran %d times", got)
		}
	})
}

// The hosts that serve the group become unreachable while one of them runs a write. Its outcome is unknown, so it must be
// reported as in doubt and must not be retried.
func TestWriteStaysInDoubtWhenItsServerIsLost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		s.updateMember("a", func(m *fakeMember) { m.work = 300 * time.Millisecond })
		done := make(chan Reply, 1)
		go func() { done <- exec(others[0], Write{}) }()
		time.Sleep(50 * time.Millisecond)
		for _, server := range serving {
			f.setFault(f.unreachable, server.settings.Host, true)
		}
		wantCode(t, <-done, InDoubt)
	})
}

// A host reaches none of the serving hosts, but it reaches the members. After a short delay it must serve its callers over
// its own connections, and close these once it reaches the serving hosts again.
func TestIsolatedHostServesItself(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		_, others := f.serving()
		h := others[0]
		f.setFault(f.unreachable, h.settings.Host, true)
		served := 0
		for range 10 {
			if exec(h, Read{}).Failure == nil {
				served++
			}
		}
		if served < 7 {
			t.Errorf("%d of 10 reads were served", served)
		}
		f.setFault(f.unreachable, h.settings.Host, false)
		time.Sleep(time.Second)
		exec(h, Read{})
		time.Sleep(2 * time.Second)
		for _, m := range h.Snapshot().Groups[0].Members {
			if m.Connections != 0 {
				t.Errorf("%d connections to %s are left", m.Connections, m.ID)
			}
		}
	})
}

// A serving host is told to stop. Other hosts must send new statements elsewhere immediately, and transactions that are open
// on the stopping host must be able to commit.
func TestStoppingServerFinishesForwardedWork(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		var callers []*Session
		for _, h := range others[:6] {
			c := openSession(t, h)
			execIn(c, Begin{})
			execIn(c, Read{})
			callers = append(callers, c)
		}
		stopping := serving[0]
		stopping.Stop()
		time.Sleep(100 * time.Millisecond)
		for _, h := range others {
			if r := exec(h, Read{}); r.Failure != nil {
				t.Errorf("at %s: %v", h.settings.Host, r.Failure)
			}
		}
		for _, c := range callers {
			if r := execIn(c, Commit{}); r.Failure != nil {
				t.Errorf("commit: %v", r.Failure)
			}
		}
		if stopping.ForwardedCount() != 0 {
			t.Errorf("%d forwarded requests or transactions are left", stopping.ForwardedCount())
		}
	})
}

// A host dies while it has a transaction open on another host. The transaction must be rolled back after a timeout, so that
// it does not keep its connection.
func TestAbandonedTransactionIsRolledBack(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, _ := f.serving()
		session := serving[0].NewForwardedSession()
		r := &PeerRequest{
			From: "gone", Serial: 1, Group: testGroup, Begin: &Begin{},
			Route:   Route{Class: freshness.Latest{}, Timeout: time.Second},
			Request: Request{ID: "x", Statement: Read{}},
		}
		if declined := session.Accept(r); declined != nil {
			t.Fatalf("%+v", declined)
		}
		if reply := session.Run(context.Background(), r); reply.Reply.Failure != nil || !session.HasOpenTransaction() {
			t.Fatalf("%+v", reply)
		}
		if idle := session.IdleTimeout(); idle < defaultTransactionIdleTimeout {
			t.Errorf("a forwarded session may be idle for %s only", idle)
		}
		session.Expire()
		if session.HasOpenTransaction() || serving[0].ForwardedCount() != 0 {
			t.Error("the transaction is still open")
		}
	})
}

// Every host sends control commands to the members when it starts, to find the primary. The connections for these count
// towards the few that a member accepts, so they must not stay open.
func TestIdleControlConnsAreClosed(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			h.group(testGroup).controlAll(h.group(testGroup).listMembers()[:1], Probe{}, controlTimeout)
			time.Sleep(2 * time.Second)
		}
		serving, _ := f.serving()
		s.mu.Lock()
		defer s.mu.Unlock()
		prewarmed := 2 * len(serving) // each serving host prewarms as many connections as the member has slots
		if conns := s.member("a").conns; conns > prewarmed+reservedControlConns {
			t.Errorf("%d connections are open, with no caller", conns)
		}
	})
}

// A host stops: it marks its entry as leaving, and the entry is removed. Other hosts may receive both changes in one update.
// They must not treat the host as one whose entry has expired and that may still be serving.
func TestDepartedHostIsNotTreatedAsLapsed(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, _ := f.serving()
		serving[0].Stop()
		time.Sleep(50 * time.Millisecond)
		for _, h := range f.all() {
			for _, server := range h.group(testGroup).loads.Servers().Hosts {
				if server.ID == serving[0].settings.Host && h != serving[0] {
					t.Errorf("%s forwards to the stopping host", h.settings.Host)
				}
			}
		}
	})
}

// Serving hosts must prewarm their connections. If they opened them only for the first callers, each would occupy a slot of
// a member for as long as three statements.
func TestServingHostsOpenConnectionsAhead(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		for _, h := range serving {
			for _, m := range h.Snapshot().Groups[0].Members {
				if m.Connections != 2 {
					t.Errorf("%s has %d connections to %s", h.settings.Host, m.Connections, m.ID)
				}
			}
		}
		for _, h := range others {
			for _, m := range h.Snapshot().Groups[0].Members {
				if m.Connections != 0 {
					t.Errorf("%s, which does not serve, has %d connections to %s", h.settings.Host, m.Connections, m.ID)
				}
			}
		}
	})
}

// A host that runs a transaction for another host is asked for the outcome of a statement that has not arrived yet, so it
// declines the statement later. The transaction must then end on this host. Otherwise its connection would run the
// statements of the next session inside the transaction.
func TestDeclinedStatementEndsItsTransaction(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		h := others[0]
		c := openSession(t, h)
		execIn(c, Begin{})
		execIn(c, Read{})
		for _, server := range serving {
			server.OutcomeOf(h.processID, h.requestSerial.Load()+1)
		}
		wantCode(t, execIn(c, Write{}), Aborted)
		for _, server := range serving {
			if server.ForwardedCount() != 0 {
				t.Errorf("%s has %d forwarded requests or transactions", server.settings.Host, server.ForwardedCount())
			}
		}
		wantCode(t, execIn(c, Commit{}), Aborted)
		if r := execIn(c, Read{}); r.Failure != nil {
			t.Errorf("after the end: %v", r.Failure)
		}
	})
}

// A host abandons the first statement of a transaction and learns only later that it ran. The other host has rolled the
// transaction back, so later statements must not run outside of a transaction.
func TestAbandonedTransactionIsNotContinued(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		c := openSession(t, others[0])
		for _, server := range serving {
			f.setFault(f.losesReplies, server.settings.Host, true)
		}
		execIn(c, Begin{})
		first := execIn(c, Read{})
		for _, server := range serving {
			f.setFault(f.losesReplies, server.settings.Host, false)
		}
		ran := len(s.ran("a"))
		if execIn(c, Write{}).Failure == nil && first.Failure != nil {
			t.Error("a statement was served in a transaction whose first one failed")
		}
		if c.tx != nil && c.tx.remote == nil && c.tx.conn == nil && len(s.ran("a")) > ran {
			t.Error("a statement ran outside of its transaction")
		}
		execIn(c, Rollback{})
		if r := execIn(c, Read{}); r.Failure != nil {
			t.Errorf("after the end: %v", r.Failure)
		}
	})
}

// The only host that serves a group becomes unreachable. The other hosts must use the next host in the forwarding order,
// which opens its own connections. If each host served its own callers, twelve hosts would compete for the six connections
// that a member accepts.
func TestFallbackHostServesForLostServer(t *testing.T) {
	withFleet(t, 12, 6, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		if len(serving) != 1 {
			t.Fatalf("%d hosts serve", len(serving))
		}
		gone := serving[0].settings.Host
		f.setFault(f.unreachable, gone, true)
		for _, h := range others {
			go exec(h, Read{})
		}
		time.Sleep(1500 * time.Millisecond)
		if n := failedReads(others, 10); n > 0 {
			t.Errorf("%d of 110 reads failed", n)
		}
		if n := countFallbacks(others); n != 1 {
			t.Errorf("%d hosts serve in place of the unreachable one", n)
		}
	})
}

// failedReads runs the given number of reads at each host, one after the other at a host and concurrently on different
// hosts. It returns the number of failed reads.
func failedReads(hosts []*Host, each int) int64 {
	var wait sync.WaitGroup
	var failed atomic.Int64
	for _, h := range hosts {
		wait.Go(func() {
			for range each {
				if r := exec(h, Read{}); r.Failure != nil {
					failed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	return failed.Load()
}

// countFallbacks returns the number of hosts that are a fallback for the group.
func countFallbacks(hosts []*Host) int {
	n := 0
	for _, h := range hosts {
		g := h.group(testGroup)
		g.mu.Lock()
		if g.isFallback(h.now()) {
			n++
		}
		g.mu.Unlock()
	}
	return n
}

// One host serves a group for nine hosts. Reads with a maximum staleness of one second must run on the local replica of the
// caller's host, without being forwarded. Once the replica falls behind or does not answer, they must be forwarded to the
// serving host without failing.
func TestReadsRunOnLocalZoneReplica(t *testing.T) {
	withFleet(t, 9, 16, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		if len(serving) != 1 {
			t.Fatalf("%d hosts serve", len(serving))
		}
		exec(serving[0], Write{})
		h, own := hostInReplicaZone(others, serving[0])
		exec(h, Read{}) // makes the host request the primary's log position
		time.Sleep(700 * time.Millisecond)
		before := f.forwardedTotal()
		for range 20 {
			if r := exec(h, Read{}); r.Failure != nil || joinedRows(r) != own {
				t.Errorf("the read was answered with %v by %s, want %s", r.Failure, joinedRows(r), own)
			}
		}
		if n := f.forwardedTotal() - before; n > 0 {
			t.Errorf("%d of 20 reads were forwarded", n)
		}
		s.updateMember(own, func(m *fakeMember) { m.silent = true })
		for range 5 {
			if r := exec(h, Read{}); r.Failure != nil || joinedRows(r) == own {
				t.Errorf("the read was answered with %v by %s", r.Failure, joinedRows(r))
			}
		}
	})
}

// hostInReplicaZone returns a host that is in the zone of a replica but not in the server's zone, and that replica.
func hostInReplicaZone(hosts []*Host, server *Host) (*Host, string) {
	for _, h := range hosts {
		for id, zone := range zoneOfMember {
			if id != "a" && zone == h.settings.Zone && zone != server.settings.Zone {
				return h, id
			}
		}
	}
	return nil, ""
}

// forwardedTotal returns the number of requests that hosts accepted for others.
func (f *fakeFleet) forwardedTotal() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, each := range f.forwardedTo {
		n += each
	}
	return n
}
