package site

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/internal/follow"
	"pearlatch/internal/gateway"
	"pearlatch/platform"
)

// newSite starts a site with one group and without hosts.
func newSite(t *testing.T) (*Site, *Group) {
	t.Helper()
	o := DefaultOptions()
	o.Hosts, o.Groups, o.Rejoin, o.PromoteTime = 1, 1, 200*time.Millisecond, 10*time.Millisecond
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, s.Groups()[0]
}

// open opens a session with a member.
func open(t *testing.T, m *Member) platform.MemberSession {
	t.Helper()
	s, failure := m.Start(m.group.name, m.ID())
	if failure != nil {
		t.Fatal(failure)
	}
	return s
}

// write writes by a session, and returns the answer, or false if there was none in time.
func write(t *testing.T, site *Site, s platform.MemberSession, id string) (gateway.Reply, bool) {
	t.Helper()
	site.History().Issue(id)
	answer := make(chan gateway.Reply, 1)
	go func() {
		if r, err := s.Do(gateway.RunStatement{Request: gateway.Request{ID: id, Text: "WRITE 1 x", Statement: gateway.Write{}}}); err == nil {
			answer <- r
		}
	}()
	select {
	case r := <-answer:
		return r, true
	case <-time.After(300 * time.Millisecond):
		return gateway.Reply{}, false
	}
}

// order gives an order to a member.
func order(t *testing.T, m *Member, o gateway.ControlCommand) gateway.Status {
	t.Helper()
	s := open(t, m)
	defer s.Close()
	status, failure, err := s.Control(o)
	if failure != nil || err != nil {
		t.Fatal(failure, err)
	}
	return status
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(stepTime)
	}
	t.Error("not in time: " + what)
}

// A write waits for a replica. Where all are fenced it is not acknowledged, and where a replica is
// promoted that lacks it, it is gone.
func TestWriteWaitsForAReplica(t *testing.T) {
	site, g := newSite(t)
	primary, replicas := g.Members()[0], g.Members()[1:]
	s := open(t, primary)
	if r, ok := write(t, site, s, "a-1"); !ok || r.Failure != nil {
		t.Fatalf("a write: %+v, %v", r, ok)
	}
	for _, m := range replicas {
		if status := order(t, m, gateway.Fence{Term: 2}); status.Fenced != 2 {
			t.Errorf("%+v after a fence", status)
		}
	}
	if r, ok := write(t, site, s, "a-2"); ok {
		t.Errorf("acknowledged with all replicas fenced: %+v", r)
	}
	if err := site.Promote(context.Background(), "h", 5, g.Name(), replicas[1].ID()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the replica leads", func() bool { return g.Primary() == replicas[1] })
	committed, _ := g.Committed()
	if committed["a-1"] != 1 || committed["a-2"] != 0 {
		t.Errorf("committed %v", committed)
	}
	if status := order(t, replicas[1], gateway.Probe{}); !status.IsPrimary || status.Term != 2 || status.Fenced != 0 {
		t.Errorf("the next primary says %+v", status)
	}
}

// Where tokens are checked, an order with an older one is refused.
func TestOlderTokenIsRefused(t *testing.T) {
	site, g := newSite(t)
	id := g.Members()[1].ID()
	if err := site.Promote(context.Background(), "h", 7, g.Name(), g.Members()[0].ID()); err != nil {
		t.Fatal(err)
	}
	if err := site.Promote(context.Background(), "h", 6, g.Name(), id); !errors.Is(err, gateway.ErrPromotionRefused) {
		t.Errorf("%v, want ErrPromotionRefused", err)
	}
}

// A primary that is parted goes on to lead after another one was promoted, and for a while after it
// reaches that one again.
func TestReplacedPrimaryLeadsOn(t *testing.T) {
	site, g := newSite(t)
	old, next := g.Members()[0], g.Members()[1]
	old.SetCut(true)
	if err := site.Promote(context.Background(), "h", 5, g.Name(), next.ID()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the next one leads", func() bool { return g.Primary() == next })
	if status := order(t, old, gateway.Probe{}); !status.IsPrimary || status.Term != 1 {
		t.Errorf("the old primary says %+v", status)
	}
	old.SetCut(false)
	if status := order(t, old, gateway.Probe{}); !status.IsPrimary {
		t.Error("the old primary follows at once")
	}
	eventually(t, "the old one follows", func() bool { return !order(t, old, gateway.Probe{}).IsPrimary })
}

// A member that starts again with nothing receives everything anew, under another birth.
func TestWipedMemberStartsAgain(t *testing.T) {
	site, g := newSite(t)
	s := open(t, g.Members()[0])
	write(t, site, s, "a-1")
	m := g.Members()[2]
	before := m.born
	m.Crash()
	time.Sleep(5 * time.Millisecond)
	m.Restart(false)
	if m.born <= before {
		t.Error("the birth is not a later one")
	}
	eventually(t, "it holds the write", func() bool {
		return order(t, m, gateway.Probe{}).Received.Compare(group.Position{Term: 1, LSN: 2}) >= 0
	})
}

// Leases end by themselves with their keys, and a watch tells so. After the history is dropped a watch
// from before is refused.
func TestStoreLeasesAndHistory(t *testing.T) {
	ctx := context.Background()
	s := NewStore()
	v := s.For(newAddr())
	lease, err := v.Grant(ctx, 150*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	written, err := v.Commit(ctx, kv.Replace("k", 0, []byte("v"), lease))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := v.Commit(ctx, kv.Replace("k", 0, []byte("w"), lease)); !errors.Is(err, gateway.ErrConflict) {
		t.Errorf("%v, want ErrConflict", err)
	}
	news, err := v.Watch(ctx, "", written, 2*time.Second)
	if err != nil || len(news.Items) != 1 || !news.Items[0].Removed {
		t.Errorf("%+v, %v; want the removal", news, err)
	}
	if _, err := v.Renew(ctx, lease); !errors.Is(err, gateway.ErrNoLease) {
		t.Errorf("%v, want ErrNoLease", err)
	}
	s.Write("op/x", []byte("1"))
	s.Forget()
	if _, err := v.Watch(ctx, "", written, time.Second); !errors.Is(err, follow.ErrCompacted) {
		t.Errorf("%v, want ErrCompacted", err)
	}
}

// newAddr returns a host's address.
func newAddr() netip.Addr { return netip.MustParseAddr("127.0.0.1") }

// The store comes back from a copy. What was written since is gone, its leases too, a watch from what it does not have
// is told so, and the numbers are given out again, in the next epoch.
func TestStoreComesBackFromACopy(t *testing.T) {
	s := NewStore()
	v := s.For(netip.MustParseAddr("127.0.0.9"))
	ctx := context.Background()
	kept, err := v.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := v.Commit(ctx, kv.Replace("kept", 0, []byte("1"), kept)); err != nil {
		t.Fatal(err)
	}
	b := s.Backup()
	gone, err := v.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	before, err := v.Commit(ctx, kv.Replace("gone", 0, []byte("1"), gone))
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(b)
	list, err := v.List(ctx, kv.Range{})
	if err != nil || len(list.Items) != 1 || list.Items[0].Key != "kept" || list.Revision.Epoch() != 1 {
		t.Errorf("%+v, %v", list, err)
	}
	if _, err := v.Watch(ctx, "", before, time.Second); !errors.Is(err, follow.ErrCompacted) {
		t.Errorf("%v, want ErrCompacted", err)
	}
	if epoch, err := v.Renew(ctx, kept); err != nil || epoch != 1 {
		t.Errorf("the lease of the copy: epoch %d, %v", epoch, err)
	}
	if _, err := v.Renew(ctx, gone); !errors.Is(err, gateway.ErrNoLease) {
		t.Errorf("the lease after the copy: %v, want ErrNoLease", err)
	}
	if again, err := v.Commit(ctx, kv.Replace("other", 0, []byte("1"), 0)); err != nil || again.Number() > before.Number() || again <= before {
		t.Errorf("written at %v, %v, after %v", again, err, before)
	}
}
