package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// The way from one serving host to the primary is cut, and other hosts reach it. Callers
// whose host turns to that one first must not be refused while the primary is well.
func TestServerThatCannotReachPrimaryReroutes(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		here, elsewhere := f.serving()
		f.setFault(f.severed, here[0].settings.Host+" a", true)
		for range 3 {
			for _, h := range elsewhere {
				exec(h, Write{})
			}
		}
		for _, h := range elsewhere {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("a write at %s: %v", h.settings.Host, r.Failure)
			}
			c := openSession(t, h)
			execIn(c, Begin{})
			execIn(c, Read{})
			if r := execIn(c, Commit{}); r.Failure != nil {
				t.Errorf("a commit at %s: %v", h.settings.Host, r.Failure)
			}
		}
	})
}

// cutFromPrimary returns a host that serves for itself and whose way to the primary is cut.
func (f *fakeFleet) cutFromPrimary(t *testing.T) *Host {
	t.Helper()
	here, elsewhere := f.serving()
	if len(elsewhere) != 0 {
		t.Fatalf("%d hosts don't serve", len(elsewhere))
	}
	h := here[0]
	f.setFault(f.severed, h.settings.Host+" a", true)
	for range 3 {
		exec(h, Write{})
	}
	return h
}

// Every host serves for itself, and the way from one of them to the primary is cut. Its
// callers' writes go by way of another host, and no longer once the way is whole.
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
			t.Errorf("others still carry its writes: %v", f.forwardedTo)
		}
	})
}

// A transaction that began by way of another host stays on the connection of its first
// statement, also when the way to the primary is whole again.
func TestTransactionStaysWhereItBegan(t *testing.T) {
	withFleet(t, 4, 20, freshness.Latest{}, func(_ *fakeSite, f *fakeFleet) {
		h := f.cutFromPrimary(t)
		c := openSession(t, h)
		execIn(c, Begin{})
		execIn(c, Read{})
		if c.tx == nil || c.tx.remote == nil {
			t.Fatal("the transaction did not go by way of another host")
		}
		server := c.tx.remote.server
		f.setFault(f.severed, h.settings.Host+" a", false)
		time.Sleep(time.Second)
		execIn(c, Write{})
		if c.tx == nil || c.tx.remote == nil || c.tx.conn != nil || c.tx.remote.server != server {
			t.Error("the transaction's second statement ran on another connection")
		}
		if r := execIn(c, Commit{}); r.Failure != nil {
			t.Errorf("commit: %v", r.Failure)
		}
	})
}

// The primary dies for everybody. Callers wait for the next one at the host that serves
// them, and are not sent round all hosts again and again.
func TestLostPrimaryIsWaitedForAtOneHost(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		_, elsewhere := f.serving()
		s.updateMember("a", func(m *fakeMember) { m.silent, m.isPrimary = true, false })
		f.mu.Lock()
		f.forwardedTo = map[string]int{}
		f.mu.Unlock()
		for _, h := range elsewhere[:5] {
			exec(h, Read{})
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for _, c := range f.forwardedTo {
			n += c
		}
		if n > 5*4 {
			t.Errorf("five statements were sent %d times", n)
		}
	})
}

// storedCoordinator returns the host that holds the duty of the group.
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

// The way from the holder of the duty to the primary is cut; all others reach it. If the
// holder took it for dead, callers of all hosts would lose their transactions, and what
// the old primary acknowledges meanwhile with an unfenced replica.
func TestPrimaryThatOthersReachIsKept(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.storedCoordinator(s)
		f.setFault(f.severed, holder.settings.Host+" a", true)
		_, elsewhere := f.serving()
		failed := 0
		for range 100 {
			if exec(elsewhere[0], Write{}).Failure != nil {
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

// As before, but no replica receives what the primary writes either: its writes hang. It
// must be replaced all the same.
func TestUnreachablePrimaryWithHangingWritesIsReplaced(t *testing.T) {
	withFleet(t, 30, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		holder := f.storedCoordinator(s)
		f.setFault(f.severed, holder.settings.Host+" a", true)
		for _, id := range []string{"b", "c"} {
			s.updateMember(id, func(m *fakeMember) { m.receivesNothing = true })
		}
		_, elsewhere := f.serving()
		sendWrites(elsewhere[0], 60)
		if s.primaryID() == "a" {
			t.Error("the primary whose writes hang still leads")
		}
		if lost := s.lostWrites(); len(lost) > 0 {
			t.Errorf("lost %v", lost)
		}
	})
}
