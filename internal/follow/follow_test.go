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

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// fleetOf returns what a host of an ID knows of n listed ones.
func fleetOf(id string, n int) *fleet.Hosts {
	f := fleet.New(membership.Host{ID: id, Zone: "z0", Peer: addrOf(250)})
	for i := range n {
		f.Note(fmt.Sprint("h", i), fmt.Appendf(nil, "z%d %s", i%3, addrOf(i)), false, time.Now())
	}
	f.Apply(time.Now())
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

func follower(f *fleet.Hosts, s Store, p Peers) *Follower {
	known := NewKnowledge(nil, time.Now)
	apply := func(n News) error { _, err := known.Apply(n); return err }
	return New(Settings{Hosts: "hosts/"}, Ports{Store: s, Peers: p, Apply: apply, Log: func(string, ...any) {}}, f, known, time.Now)
}

// The store refuses each third call while a host reads a list of many pages. A list that begins again with each failure
// would hardly ever end.
func TestPageThatFailedIsReadAgainAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pagedStore{}
		for i := range 100 {
			s.items = append(s.items, kv.Item{Key: fmt.Sprintf("k%03d", i), Revision: 1})
		}
		list, err := follower(fleetOf("h0", 3), s, nil).list(t.Context(), kv.Range{})
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
func TestHostsBeyondTheFeedsAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := NewKnowledge(nil, time.Now)
		if _, err := known.Apply(News{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}); err != nil {
			t.Fatal(err)
		}
		f := NewFeeder(known, fleetOf("h0", 30), func() bool { return false })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		turned := make(chan News, 3*mostLists)
		overSlowLink := func(n News) error {
			if len(n.Elsewhere) > 0 {
				turned <- n
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}
		feed := func() {
			if err := f.Feed(ctx, 0, overSlowLink); !errors.Is(err, errTurnedAway) && ctx.Err() == nil {
				t.Errorf("a feed ended with %v", err)
			}
		}
		for range 3 * mostLists {
			go feed()
		}
		time.Sleep(time.Second)
		if n := len(turned); n != 2*mostLists {
			t.Errorf("%d of %d were turned away", n, 3*mostLists)
		}
		if n := <-turned; len(n.Elsewhere) != namedHosts || n.Age < staleNews || n.Full {
			t.Errorf("they were told %+v", n)
		}
	})
}

// While a fleet starts, a host has no place in the tree of feeds until it is listed, and all of those that are not would
// turn to the first one that is: they stay where they learned the list.
func TestHostWithoutAPlaceKeepsItsFeed(t *testing.T) {
	other := FromHost{addrOf(200)}
	if !follower(fleetOf("h0", 30), nil, busyPeers{}).prefersAnother(other) {
		t.Error("a listed host keeps to a source that it does not prefer")
	}
	if follower(fleetOf("starts", 30), nil, busyPeers{}).prefersAnother(other) {
		t.Error("a host that is not listed turns to another source")
	}
}

// busyPeers are hosts of which one passes news on to too many others and names two.
type busyPeers struct{}

func (busyPeers) Feed(_ context.Context, to netip.AddrPort, _ kv.Revision) (Feed, error) {
	return &oneFeed{busy: to == addrOf(1)}, nil
}

type oneFeed struct{ busy bool }

func (f *oneFeed) Next(time.Duration) (News, error) {
	if f.busy {
		return News{Elsewhere: []netip.AddrPort{addrOf(2), addrOf(3)}, Age: turnedAwayAge}, nil
	}
	time.Sleep(newsPause)
	return News{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 7}}}, nil
}

func (f *oneFeed) Close() {}

// A host's source passes news on to too many others and names some that have them. The host learns from one of these, and
// does not go on to the store.
func TestHostThatIsTurnedAwayLearnsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follower(fleetOf("h5", 30), nil, busyPeers{})
		started := time.Now()
		if !f.turn(t.Context(), FromHost{addrOf(1)}, 0) || f.failures != 0 {
			t.Errorf("the host that was turned away has %d failures", f.failures)
		}
		if took := time.Since(started); took < preferAgain || took > 2*preferAgain {
			t.Errorf("it learned elsewhere for %s", took)
		}
	})
}
