package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// A serving host can't reach the primary, while other hosts can. Callers whose host forwards to
// that one first must not be refused.
func TestServerThatCannotReachPrimaryReroutes(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		serving, others := f.serving()
		f.setFault(f.severed, serving[0].settings.Host+" a", true)
		for range 3 {
			for _, h := range others {
				exec(h, Write{})
			}
		}
		for _, h := range others {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("a write at %s: %v", h.settings.Host, r.Failure)
			}
			session := openSession(t, h)
			execIn(session, Begin{})
			execIn(session, Read{})
			if r := execIn(session, Commit{}); r.Failure != nil {
				t.Errorf("a commit at %s: %v", h.settings.Host, r.Failure)
			}
		}
	})
}

// cutFromPrimary severs one host from the primary in a fleet where every host serves its own
// callers, and returns that host.
func (f *fakeFleet) cutFromPrimary(t *testing.T) *Host {
	t.Helper()
	serving, others := f.serving()
	if len(others) != 0 {
		t.Fatalf("%d hosts don't serve", len(others))
	}
	h := serving[0]
	f.setFault(f.severed, h.settings.Host+" a", true)
	for range 3 {
		exec(h, Write{})
	}
	return h
}

// Every host serves its own callers, and one of them can't reach the primary. Its callers' writes
// are forwarded to another host, but no longer once it reaches the primary again.
func TestHostThatCannotReachPrimaryForwards(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		h := f.cutFromPrimary(t)
		for range 5 {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("a write: %v", r.Failure)
			}
		}
		f.setFault(f.severed, h.settings.Host+" a", false)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.forwardedTo = map[string]int{}
		f.mu.Unlock()
		for range 5 {
			exec(h, Write{})
		}
		if len(f.forwardedTo) > 0 {
			t.Errorf("its writes are still forwarded: %v", f.forwardedTo)
		}
	})
}

// A transaction that began by way of another host stays on the connection of its first statement,
// even after its own host reaches the primary again.
func TestTransactionStaysWhereItBegan(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		h := f.cutFromPrimary(t)
		session := openSession(t, h)
		execIn(session, Begin{})
		execIn(session, Read{})
		if session.tx == nil || session.tx.remote == nil {
			t.Fatal("the transaction was not forwarded to another host")
		}
		server := session.tx.remote.server
		f.setFault(f.severed, h.settings.Host+" a", false)
		time.Sleep(time.Second)
		execIn(session, Write{})
		if session.tx == nil || session.tx.remote == nil || session.tx.conn != nil || session.tx.remote.server != server {
			t.Error("the transaction's second statement ran on another connection")
		}
		if r := execIn(session, Commit{}); r.Failure != nil {
			t.Errorf("commit: %v", r.Failure)
		}
	})
}

// The primary fails for all hosts. Callers wait for the new one at the host that serves them, and
// their statements are not forwarded to all hosts repeatedly.
func TestLostPrimaryIsWaitedForAtOneHost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		_, others := f.serving()
		s.updateMember("a", func(m *fakeMember) { m.silent, m.isPrimary = true, false })
		f.mu.Lock()
		f.forwardedTo = map[string]int{}
		f.mu.Unlock()
		for _, h := range others[:5] {
			exec(h, Read{})
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for _, count := range f.forwardedTo {
			n += count
		}
		if n > 5*4 {
			t.Errorf("five statements were forwarded %d times", n)
		}
	})
}

// storedCoordinator returns the host that is stored as the coordinator of the group.
func (f *fakeFleet) storedCoordinator(s *fakeSite) *Host {
	s.mu.Lock()
	id := string(s.items["own/duty/"+testGroup].Value)
	s.mu.Unlock()
	for _, h := range f.all() {
		if h.settings.Host == id {
			return h
		}
	}
	return nil
}

// The coordinator can't reach the primary; all other hosts can. If it replaced the primary,
// callers of all hosts would lose their transactions, and also the writes that the old primary
// acknowledges meanwhile with an unfenced replica.
func TestPrimaryThatOthersReachIsKept(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		coordinator := f.storedCoordinator(s)
		f.setFault(f.severed, coordinator.settings.Host+" a", true)
		_, others := f.serving()
		failed := 0
		for range 100 {
			if exec(others[0], Write{}).Failure != nil {
				failed++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if failed > 3 {
			t.Errorf("%d of 100 writes failed", failed)
		}
		if s.primaryID() != "a" {
			t.Errorf("%s leads", s.primaryID())
		}
	})
}

// The coordinator can't reach the primary, and no replica receives what the primary writes, so
// writes hang. The primary must be replaced although other hosts reach it.
func TestUnreachablePrimaryWithHangingWritesIsReplaced(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		coordinator := f.storedCoordinator(s)
		f.setFault(f.severed, coordinator.settings.Host+" a", true)
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.receivesNothing = true })
		}
		_, others := f.serving()
		sendWrites(others[0], 60)
		if s.primaryID() == "a" {
			t.Error("the primary whose writes hang still leads")
		}
		if lost := s.lostWrites(); len(lost) > 0 {
			t.Errorf("lost %v", lost)
		}
	})
}
