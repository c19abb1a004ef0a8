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

// Thirty hosts stand before members that take twenty connections. If each opened one to
// every member, a third of them would be refused again and again. A few hosts serve, and
// the callers of all others are answered through these.
func TestFewHostsServeForAll(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		if len(here) != 2 {
			t.Fatalf("%d of %d hosts serve", len(here), len(here)+len(elsewhere))
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

// A chef saves a recipe and looks it up, both through another host. The replicas have not
// applied the save: the mark of the session must travel with the read.
func TestForwardedReadSeesOwnWrite(t *testing.T) {
	withFleet(t, 30, 20, freshness.OwnWrites{}, func(s *fakeSite, f *fakeFleet) {
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.lagging = true })
		}
		_, elsewhere := f.serving()
		chef := openSession(t, elsewhere[0])
		execIn(chef, Write{})
		if chef.lastWrite == (group.Position{}) {
			t.Error("the session has no mark after its write")
		}
		if got := joinedRows(execIn(chef, Read{})); got != "a" {
			t.Errorf("the read after the write ran on %q", got)
		}
	})
}

// A transaction with a session value and a prepared statement runs through another host:
// on one connection, with the caller's own values, and nothing stays open after its end.
func TestTransactionThroughAnotherHost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		_, elsewhere := f.serving()
		caller := openSession(t, elsewhere[0])
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

// A failed statement breaks a transaction that runs elsewhere: further statements are
// refused until the caller ends it, and the connection is free at once.
func TestFailedTransactionThroughAnotherHost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		_, elsewhere := f.serving()
		caller := openSession(t, elsewhere[0])
		execIn(caller, Begin{})
		execIn(caller, Read{})
		wantCode(t, execIn(caller, Execute{Name: "nothing"}), UnknownStatement)
		wantCode(t, execIn(caller, Read{}), Malformed)
		wantCode(t, execIn(caller, Commit{}), Aborted)
		if r := execIn(caller, Read{}); r.Failure != nil {
			t.Errorf("after the end: %v", r.Failure)
		}
		f.wantNoForwardedWork(t)
	})
}

// The host that serves the group goes dark. Callers of others must not wait until their
// time is over: the next host that serves takes their statements.
func TestUnreachableServerIsAbandonedAtOnce(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		f.setFault(f.unreachable, here[0].settings.Host, true)
		for _, h := range elsewhere {
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

// A lane to the serving host goes silent with a write on it. The write never arrived: it
// is sent again elsewhere, and the lost one must not run when it arrives after all.
func TestUndeliveredWriteIsRetried(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		h := elsewhere[0]
		for range 3 {
			exec(h, Read{}) // the processes of both hosts are known
			time.Sleep(10 * time.Millisecond)
		}
		first := h.serversFor(h.group(testGroup)).servers[0]
		f.setFault(f.losesRequests, first.ID, true)
		if r := exec(h, Write{}); r.Failure != nil {
			t.Errorf("the write: %v", r.Failure)
		}
		for _, server := range here {
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

// A lane goes silent after a write has run: its answer is lost between the two hosts. The
// caller must get it all the same, and the write must run once.
func TestLostPeerReplyIsQueried(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		for _, server := range here {
			f.setFault(f.losesReplies, server.settings.Host, true)
		}
		ran := len(s.ran("a"))
		if r := exec(elsewhere[0], Write{}); r.Failure != nil || r.Signature == "" {
			t.Errorf("the write: %+v", r)
		}
		if got := len(s.ran("a")) - ran; got != 1 {
			t.Errorf("the write ran %d times", got)
		}
	})
}

// The host that serves the group ends with a write under way. Nobody can know whether it
// ran: the caller is told so, and it is not repeated.
func TestWriteStaysInDoubtWhenItsServerIsLost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		s.updateMember("a", func(m *fakeMember) { m.work = 300 * time.Millisecond })
		done := make(chan Reply, 1)
		go func() { done <- exec(elsewhere[0], Write{}) }()
		time.Sleep(50 * time.Millisecond)
		for _, server := range here {
			f.setFault(f.unreachable, server.settings.Host, true)
		}
		wantCode(t, <-done, InDoubt)
	})
}

// A host can reach none of those that serve the group, but the members. Its callers are
// served from a connection of its own after a moment.
func TestIsolatedHostServesItself(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		_, elsewhere := f.serving()
		h := elsewhere[0]
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

// A serving host is told to stop. Others turn elsewhere at once, and what is open on it
// ends in peace.
func TestStoppingServerFinishesForwardedWork(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		var callers []*Session
		for _, h := range elsewhere[:6] {
			c := openSession(t, h)
			execIn(c, Begin{})
			execIn(c, Read{})
			callers = append(callers, c)
		}
		stopping := here[0]
		stopping.Stop()
		time.Sleep(100 * time.Millisecond)
		for _, h := range elsewhere {
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
			t.Errorf("%d guests are left", stopping.ForwardedCount())
		}
	})
}

// A host dies with a transaction open on another one. That transaction must not hold its
// connection for ever.
func TestAbandonedTransactionIsRolledBack(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, _ := f.serving()
		guest := here[0].NewForwardedSession()
		r := &PeerRequest{
			From: "gone", Serial: 1, Group: testGroup, Begin: &Begin{},
			Route:   Route{Class: freshness.Latest{}, Timeout: time.Second},
			Request: Request{ID: "x", Statement: Read{}},
		}
		if declined := guest.Accept(r); declined != nil {
			t.Fatalf("%+v", declined)
		}
		if reply := guest.Run(context.Background(), r); reply.Reply.Failure != nil || !guest.HasOpenTransaction() {
			t.Fatalf("%+v", reply)
		}
		if rest := guest.IdleTimeout(); rest < defaultTransactionIdleTimeout {
			t.Errorf("a guest may rest for %s only", rest)
		}
		guest.Expire()
		if guest.HasOpenTransaction() || here[0].ForwardedCount() != 0 {
			t.Error("the transaction is open still")
		}
	})
}

// Every host asked who leads when it started. Those connections take places of the few
// that a member has, and must not stay open.
func TestIdleControlConnsAreClosed(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		for _, h := range f.all() {
			h.group(testGroup).controlAll(h.group(testGroup).listMembers()[:1], Probe{}, controlTimeout)
			time.Sleep(2 * time.Second)
		}
		here, _ := f.serving()
		s.mu.Lock()
		defer s.mu.Unlock()
		ahead := 2 * len(here) // each opens as many ahead as the member has slots
		if conns := s.member("a").conns; conns > ahead+reservedControlConns {
			t.Errorf("%d connections are open, with no caller", conns)
		}
	})
}

// A host stops: it writes that it leaves and takes its entry back, and others learn both in
// one message. They must not take it for a host that lapsed and may serve still.
func TestDepartedHostIsNotTreatedAsLapsed(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, _ := f.serving()
		here[0].Stop()
		time.Sleep(50 * time.Millisecond)
		for _, h := range f.all() {
			for _, server := range h.serversFor(h.group(testGroup)).servers {
				if server.ID == here[0].settings.Host && h != here[0] {
					t.Errorf("%s turns to the host that stops", h.settings.Host)
				}
			}
		}
	})
}

// The day's first callers come to hosts that serve for many others. If these open their
// connections only then, each takes a slot of a member for as long as three statements.
func TestServingHostsOpenConnectionsAhead(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		for _, h := range here {
			for _, m := range h.Snapshot().Groups[0].Members {
				if m.Connections != 2 {
					t.Errorf("%s has %d connections to %s", h.settings.Host, m.Connections, m.ID)
				}
			}
		}
		for _, h := range elsewhere {
			for _, m := range h.Snapshot().Groups[0].Members {
				if m.Connections != 0 {
					t.Errorf("%s, which does not serve, has %d connections to %s", h.settings.Host, m.Connections, m.ID)
				}
			}
		}
	})
}

// A host that runs a transaction for another one is told to forget a statement before that
// arrives, and declines it. The transaction must end there: its connection would otherwise
// serve the statements of whoever comes next.
func TestDeclinedStatementEndsItsTransaction(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		h := elsewhere[0]
		c := openSession(t, h)
		execIn(c, Begin{})
		execIn(c, Read{})
		for _, server := range here {
			server.OutcomeOf(h.processID, h.requestSerial.Load()+1)
		}
		wantCode(t, execIn(c, Write{}), Aborted)
		for _, server := range here {
			if server.ForwardedCount() != 0 {
				t.Errorf("%s has %d guests", server.settings.Host, server.ForwardedCount())
			}
		}
		wantCode(t, execIn(c, Commit{}), Aborted)
		if r := execIn(c, Read{}); r.Failure != nil {
			t.Errorf("after the end: %v", r.Failure)
		}
	})
}

// A host gives up the first statement of a transaction, and hears only then that it ran. The
// other host has rolled the transaction back: what follows must not run by itself.
func TestTransactionThatWasGivenUpIsNotContinued(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		c := openSession(t, elsewhere[0])
		for _, server := range here {
			f.setFault(f.losesReplies, server.settings.Host, true)
		}
		execIn(c, Begin{})
		first := execIn(c, Read{})
		for _, server := range here {
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

// One host serves a group for all and is gone without a trace. The others turn to the next one
// in the order, which opens connections of its own. If each served itself, twelve hosts would
// fight over the six connections that a member takes.
func TestFallbackHostServesForLostServer(t *testing.T) {
	withFleet(t, 12, 6, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		if len(here) != 1 {
			t.Fatalf("%d hosts serve", len(here))
		}
		gone := here[0].settings.Host
		f.setFault(f.unreachable, gone, true)
		for _, h := range elsewhere {
			go exec(h, Read{})
		}
		time.Sleep(1500 * time.Millisecond)
		if n := failedReads(elsewhere, 10); n > 0 {
			t.Errorf("%d of 110 reads failed", n)
		}
		if n := countFallbacks(elsewhere); n != 1 {
			t.Errorf("%d hosts serve in place of the one that is gone", n)
		}
	})
}

// failedReads lets callers of all hosts read at once, each one after the other, and returns how
// many failed.
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

// countFallbacks counts the hosts that serve the group in place of others.
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

// One host serves a group for nine. Reads that may be a second old run on the replica of the
// caller's own zone, without a hop; once that falls behind, or does not answer, they go by way of the
// host that serves, and no caller notices.
func TestReadsRunOnLocalZoneReplica(t *testing.T) {
	withFleet(t, 9, 16, freshness.MaxAge{Age: time.Second}, func(s *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		if len(here) != 1 {
			t.Fatalf("%d hosts serve", len(here))
		}
		exec(here[0], Write{})
		h, own := hostInReplicaZone(elsewhere, here[0])
		exec(h, Read{}) // the host asks where the primary's log stands
		time.Sleep(700 * time.Millisecond)
		before := f.forwardedTotal()
		for range 20 {
			if r := exec(h, Read{}); r.Failure != nil || joinedRows(r) != own {
				t.Errorf("the read was answered with %v by %s, want %s", r.Failure, joinedRows(r), own)
			}
		}
		if n := f.forwardedTotal() - before; n > 0 {
			t.Errorf("%d of 20 reads were passed on", n)
		}
		s.updateMember(own, func(m *fakeMember) { m.silent = true })
		for range 5 {
			if r := exec(h, Read{}); r.Failure != nil || joinedRows(r) == own {
				t.Errorf("the read was answered with %v by %s", r.Failure, joinedRows(r))
			}
		}
	})
}

// hostInReplicaZone returns one of the hosts that is in the zone of a replica, but not of the server, and
// that replica.
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

// forwardedTotal returns how many requests hosts took for others.
func (f *fakeFleet) forwardedTotal() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, each := range f.forwardedTo {
		n += each
	}
	return n
}
