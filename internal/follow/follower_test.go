package follow

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/kv"
	"pearlatch/core/membership"
	"pearlatch/internal/fleet"
	"pearlatch/internal/pause"
)

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// newTestFleet returns the view of host id on n listed hosts.
func newTestFleet(id string, n int) *fleet.Hosts {
	f := fleet.New(membership.Host{ID: id, Zone: "z0", Peer: hostAddr(250)})
	for i := range n {
		f.RecordEntry(fmt.Sprint("h", i), fmt.Appendf(nil, "z%d %s", i%3, hostAddr(i)), false, time.Now())
	}
	f.UpdateList(time.Now())
	return f
}

// pagedStore lists items in pages of five. Every third List call fails.
type pagedStore struct {
	items []kv.Item
	calls int
}

var errRefused = errors.New("refused")

func (s *pagedStore) List(_ context.Context, r kv.Range) (kv.Page, error) {
	s.calls++
	if s.calls%3 == 0 {
		return kv.Page{}, errRefused
	}
	from := 0
	if r.After != "" {
		from = 1 + slices.IndexFunc(s.items, func(i kv.Item) bool { return i.Key == r.After })
	}
	to := min(from+5, len(s.items))
	return kv.Page{Snapshot: kv.Snapshot{Items: s.items[from:to], Revision: 1}, More: to < len(s.items)}, nil
}

func (s *pagedStore) Watch(context.Context, string, kv.Revision, time.Duration) (kv.Snapshot, error) {
	return kv.Snapshot{}, errRefused
}

func newTestFollower(f *fleet.Hosts, s Store, p Peers) *Follower {
	view := NewStoreView(nil, time.Now)
	apply := func(u StoreUpdate) error { _, err := view.Apply(u); return err }
	return New(Settings{HostsPrefix: "hosts/"}, Ports{Store: s, Peers: p, Apply: apply, Log: func(string, ...any) {}}, f, view, time.Now)
}

// The store rejects every third call while a host reads a list of many pages. If each failure restarted the list, it
// would hardly ever complete.
func TestOnlyTheFailedPageIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pagedStore{}
		for i := range 100 {
			s.items = append(s.items, kv.Item{Key: fmt.Sprintf("k%03d", i), Revision: 1})
		}
		list, err := newTestFollower(newTestFleet("h0", 3), s, nil).list(t.Context(), kv.Range{})
		if err != nil || len(list.Items) != 100 {
			t.Errorf("%d items, %v", len(list.Items), err)
		}
		if s.calls > 40 {
			t.Errorf("%d pages were read for a list of 20", s.calls)
		}
	})
}

// A thousand hosts start and request full updates from the few hosts that have one. Each of these sends a bounded number
// at a time and refers the other hosts elsewhere, since full updates in transit would otherwise fill its memory.
func TestHostsAboveTheFeedLimitAreRedirected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := NewStoreView(nil, time.Now)
		if _, err := view.Apply(StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}); err != nil {
			t.Fatal(err)
		}
		f := NewFeeder(view, newTestFleet("h0", 30), func() bool { return false })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		redirected := make(chan StoreUpdate, 3*maxFullUpdates)
		sendOverSlowLink := func(u StoreUpdate) error {
			if len(u.Referrals) > 0 {
				redirected <- u
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}
		feed := func() {
			if err := f.Feed(ctx, FeedRequest{}, sendOverSlowLink); !errors.Is(err, errTooManyFeeds) && ctx.Err() == nil {
				t.Errorf("a feed ended with %v", err)
			}
		}
		for range 3 * maxFullUpdates {
			go feed()
		}
		time.Sleep(time.Second)
		if n := len(redirected); n != 2*maxFullUpdates {
			t.Errorf("%d of %d hosts were redirected", n, 3*maxFullUpdates)
		}
		if u := <-redirected; len(u.Referrals) != maxReferrals || u.Age < maxUpdateAge || u.Full {
			t.Errorf("redirected hosts received %+v", u)
		}
	})
}

// Guards against a busy host that names hosts which are listed but have restarted too, and have no contents either.
func TestBusyHostNamesReceivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := NewStoreView(nil, time.Now)
		if _, err := view.Apply(StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}); err != nil {
			t.Fatal(err)
		}
		f := NewFeeder(view, newTestFleet("h0", 30), func() bool { return false })
		ended := errors.New("ended")
		calls := 0
		endAfterFirst := func(StoreUpdate) error {
			if calls++; calls > 1 {
				return ended
			}
			return nil
		}
		received := hostAddr(200) // not listed
		if err := f.Feed(t.Context(), FeedRequest{Receiver: received}, endAfterFirst); !errors.Is(err, ended) {
			t.Fatal(err)
		}
		if got := f.referrals(); !slices.Equal(got, []netip.AddrPort{received}) {
			t.Errorf("named %v, want %v", got, received)
		}
		time.Sleep(time.Minute)
		if got := f.referrals(); slices.Contains(got, received) || len(got) != maxReferrals {
			t.Errorf("a minute later it names %v", got)
		}
	})
}

// Guards against hosts that are turned away, and back off, while the host that they ask is reading the store.
func TestFeedWaitsForTheFirstRead(t *testing.T) {
	for _, c := range []struct {
		name        string
		takes, ends time.Duration
		sent        bool
	}{
		{"short read", 100 * time.Millisecond, 100 * time.Millisecond, true},
		{"long read", time.Second, firstReadWait, false},
		{"no read", 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				view := NewStoreView(nil, time.Now)
				if c.takes > 0 {
					readFor(view, c.takes)
				}
				started, sent, ended := time.Now(), false, errors.New("ended")
				f := NewFeeder(view, newTestFleet("h0", 30), func() bool { return false })
				err := f.Feed(t.Context(), FeedRequest{}, func(StoreUpdate) error {
					sent = true
					return ended
				})
				if took := time.Since(started); took != c.ends || sent != c.sent || sent != errors.Is(err, ended) {
					t.Errorf("ended after %s, sent is %t, %v; want %s, %t", took, sent, err, c.ends, c.sent)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// readFor reads the whole store into the view for the duration.
func readFor(view *StoreView, takes time.Duration) {
	end := view.beginStoreRead()
	time.AfterFunc(takes, func() {
		defer end()
		_, _ = view.Apply(StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}})
	})
}

// While a fleet starts, a host has no position in the tree of update sources until it is listed. All unlisted hosts would
// switch to the first listed one, so they must keep the source from which they got the list.
func TestUnlistedHostKeepsItsSource(t *testing.T) {
	other := HostSource{hostAddr(200)}
	if !newTestFollower(newTestFleet("h0", 30), nil, busyPeers{}).shouldSwitchSource(other) {
		t.Error("a listed host keeps a source that it does not prefer")
	}
	if newTestFollower(newTestFleet("starts", 30), nil, busyPeers{}).shouldSwitchSource(other) {
		t.Error("an unlisted host switches to another source")
	}
}

// busyPeers opens feeds from hosts of which one, at hostAddr(1), is busy and names two others.
type busyPeers struct{}

func (busyPeers) Feed(_ context.Context, to netip.AddrPort, _ FeedRequest) (Feed, error) {
	return &testFeed{busy: to == hostAddr(1)}, nil
}

type testFeed struct{ busy bool }

func (f *testFeed) Next(time.Duration) (StoreUpdate, error) {
	if f.busy {
		return StoreUpdate{Referrals: []netip.AddrPort{hostAddr(2), hostAddr(3)}, Age: referralAge}, nil
	}
	time.Sleep(heartbeatInterval)
	return StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}, nil
}

func (f *testFeed) Close() {}

// A host's source forwards to too many hosts and names others. The host must follow one of these instead of reading from
// the store.
func TestRedirectedHostFollowsAReferral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower(newTestFleet("h5", 30), nil, busyPeers{})
		started := time.Now()
		if !f.followSource(t.Context(), HostSource{hostAddr(1)}, 0) || f.failures != 0 {
			t.Errorf("the redirected host has %d failures", f.failures)
		}
		if followed := time.Since(started); followed < referralDuration || followed > 2*referralDuration {
			t.Errorf("it followed the referral for %s", followed)
		}
	})
}

// slowStore answers watches after a delay.
type slowStore struct {
	pagedStore
	delay time.Duration
}

func (s *slowStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Snapshot, error) {
	if !pause.For(ctx, s.delay+wait) {
		return kv.Snapshot{}, ctx.Err()
	}
	return kv.Snapshot{Revision: after}, nil
}

// Guards against a host that never has a recent view because it gives a slow store too little time for each answer.
func TestSlowStoreIsGivenTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower(newTestFleet("h0", 0), &slowStore{delay: 700 * time.Millisecond}, nil)
		if err := f.apply(StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(8 * time.Second)
		for range 100 {
			if !f.view.IsRecent() {
				t.Fatalf("the view is %s old", f.view.Age())
			}
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
	})
}

// loopingPeers opens feeds whose updates reach the sender through the host at hostAddr(250).
type loopingPeers struct{ testFeed }

func (p *loopingPeers) Feed(context.Context, netip.AddrPort, FeedRequest) (Feed, error) {
	return p, nil
}

func (p *loopingPeers) Next(time.Duration) (StoreUpdate, error) {
	u, err := p.testFeed.Next(0)
	u.Path = []netip.AddrPort{hostAddr(3), hostAddr(250)}
	return u, err
}

// Guards against hosts that follow one another in a circle, which neither notices before its view is old.
func TestHostDoesNotFollowItsOwnUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower(newTestFleet("h5", 30), nil, &loopingPeers{})
		f.settings.Self = hostAddr(250)
		if err := (HostSource{hostAddr(1)}).follow(t.Context(), f, time.Minute); !errors.Is(err, errOwnUpdates) {
			t.Errorf("%v, want %v", err, errOwnUpdates)
		}
		if (HostSource{hostAddr(1)}).sendsUpdates(t.Context(), f, 0) {
			t.Error("the test of a source whose updates come from the host itself succeeds")
		}
	})
}

// longChanges is a store whose changes are too long for a watch: it fails with err, or takes longer than any limit.
type longChanges struct{ err error }

func (s longChanges) Watch(ctx context.Context, prefix string, after kv.Revision, _ time.Duration) (kv.Snapshot, error) {
	if prefix != "" {
		return kv.Snapshot{Revision: after}, nil
	}
	if s.err == nil {
		<-ctx.Done()
		return kv.Snapshot{}, fmt.Errorf("watch: %w", ctx.Err())
	}
	return kv.Snapshot{}, s.err
}

func (longChanges) List(context.Context, kv.Range) (kv.Page, error) {
	return kv.Page{Snapshot: kv.Snapshot{Items: []kv.Item{{Key: "k", Revision: 9}}, Revision: 9}}, nil
}

// Guards against hosts that stop following the store for good: the changes that they missed, as of large values that were
// written again and again, take longer than a watch may, and each watch asked for all of them again.
func TestChangesTooLongForAWatchAreListed(t *testing.T) {
	for _, c := range []struct {
		name  string
		store longChanges
		calls int
	}{{"rejected", longChanges{ErrTooLong}, 1}, {"not in time", longChanges{}, maxWatchTimeouts + 1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLongChanges(t, c.store, c.calls) })
		})
	}
}

// testLongChanges checks that the last of the calls of followStore, and no other, reads the list.
func testLongChanges(t *testing.T, s Store, calls int) {
	f := newTestFollower(newTestFleet("h0", 3), s, nil)
	if err := f.apply(StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}); err != nil {
		t.Fatal(err)
	}
	for call := 1; call <= calls; call++ {
		if err := f.followStore(t.Context()); (err == nil) != (call == calls) {
			t.Errorf("call %d: %v", call, err)
		}
	}
	if r := f.view.Revision(); r != 9 {
		t.Errorf("revision %v, want the list of 9", r)
	}
}
