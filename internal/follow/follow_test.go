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
)

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// newTestFleet returns what a host of an ID knows of n listed ones.
func newTestFleet(id string, n int) *fleet.Hosts {
	f := fleet.New(membership.Host{ID: id, Zone: "z0", Peer: hostAddr(250)})
	for i := range n {
		f.RecordEntry(fmt.Sprint("h", i), fmt.Appendf(nil, "z%d %s", i%3, hostAddr(i)), false, time.Now())
	}
	f.UpdateList(time.Now())
	return f
}

// pagedStore holds items in pages of five. Each third page that is asked for fails.
type pagedStore struct {
	items []kv.Item
	pages int
}

var errRefused = errors.New("refused")

func (s *pagedStore) List(_ context.Context, r kv.Range) (kv.Page, error) {
	s.pages++
	if s.pages%3 == 0 {
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
	known := NewStoreView(nil, time.Now)
	apply := func(n StoreUpdate) error { _, err := known.Apply(n); return err }
	return New(Settings{HostsPrefix: "hosts/"}, Ports{Store: s, Peers: p, Apply: apply, Log: func(string, ...any) {}}, f, known, time.Now)
}

// The store refuses each third call while a host reads a list of many pages. A list that begins again with each failure
// would hardly ever end.
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
		if s.pages > 40 {
			t.Errorf("%d pages were read for a list of 20", s.pages)
		}
	})
}

// A thousand hosts that start turn to the few that have the list. Each sends it to some at a time, and names the others
// hosts that have it too, or its memory fills with lists on their way.
func TestHostsAboveTheFeedLimitAreRedirected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := NewStoreView(nil, time.Now)
		if _, err := known.Apply(StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}); err != nil {
			t.Fatal(err)
		}
		f := NewFeeder(known, newTestFleet("h0", 30), func() bool { return false })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		turned := make(chan StoreUpdate, 3*maxFullUpdates)
		overSlowLink := func(n StoreUpdate) error {
			if len(n.Referrals) > 0 {
				turned <- n
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}
		feed := func() {
			if err := f.Feed(ctx, 0, overSlowLink); !errors.Is(err, errTooManyFeeds) && ctx.Err() == nil {
				t.Errorf("a feed ended with %v", err)
			}
		}
		for range 3 * maxFullUpdates {
			go feed()
		}
		time.Sleep(time.Second)
		if n := len(turned); n != 2*maxFullUpdates {
			t.Errorf("%d of %d were turned away", n, 3*maxFullUpdates)
		}
		if n := <-turned; len(n.Referrals) != maxReferrals || n.Age < maxUpdateAge || n.Full {
			t.Errorf("they were told %+v", n)
		}
	})
}

// While a fleet starts, a host has no place in the tree of feeds until it is listed, and all of those that are not would
// turn to the first one that is: they stay where they learned the list.
func TestUnlistedHostKeepsItsSource(t *testing.T) {
	other := HostSource{hostAddr(200)}
	if !newTestFollower(newTestFleet("h0", 30), nil, busyPeers{}).shouldSwitchSource(other) {
		t.Error("a listed host keeps to a source that it does not prefer")
	}
	if newTestFollower(newTestFleet("starts", 30), nil, busyPeers{}).shouldSwitchSource(other) {
		t.Error("a host that is not listed turns to another source")
	}
}

// busyPeers are hosts of which one passes news on to too many others and names two.
type busyPeers struct{}

func (busyPeers) Feed(_ context.Context, to netip.AddrPort, _ kv.Revision) (Feed, error) {
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

// A host's source passes news on to too many others and names some that have them. The host learns from one of these, and
// does not go on to the store.
func TestRedirectedHostFollowsAReferral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower(newTestFleet("h5", 30), nil, busyPeers{})
		started := time.Now()
		if !f.followSource(t.Context(), HostSource{hostAddr(1)}, 0) || f.failures != 0 {
			t.Errorf("the host that was turned away has %d failures", f.failures)
		}
		if took := time.Since(started); took < preferredRetryDelay || took > 2*preferredRetryDelay {
			t.Errorf("it learned elsewhere for %s", took)
		}
	})
}
