package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/serving"
)

const (
	// feedTimeout is how long a feed may be silent: two messages may be late.
	feedTimeout = 1100 * time.Millisecond
	// feedOpenTimeout bounds the opening of a feed.
	feedOpenTimeout = 300 * time.Millisecond
	// maxUpdateAge is how old another host's news may be. The hosts that watch the store
	// hear of it every watchWait, and pass that on after newsPause at most.
	maxUpdateAge = 1800 * time.Millisecond
	// maxTransitDelay is what the age of news grows by on its way, above what it takes. Two
	// hosts that have both lost the store and follow each other would otherwise make
	// the same news younger and younger, by the time that they are under way.
	maxTransitDelay = 50 * time.Millisecond
)

// Source is where a host learns what is in the store. Its implementations are
// FromStore and FromHost.
type Source interface {
	// follow returns nil after a while in which the source did not fail. A source that is not the
	// preferred one is followed for less long. Old news count as a failure only after patience.
	follow(ctx context.Context, f *Follower, patience time.Duration) error
	String() string
}

type (
	// StoreSource is the store itself.
	StoreSource struct{}
	// HostSource is another host.
	HostSource struct{ Addr netip.AddrPort }
)

func (StoreSource) String() string { return "store" }

func (s HostSource) String() string { return s.Addr.String() }

func (StoreSource) follow(ctx context.Context, f *Follower, _ time.Duration) error {
	return f.followStore(ctx)
}

func (s HostSource) follow(ctx context.Context, f *Follower, patience time.Duration) error {
	spare, after := f.sourceIndex > 0, f.view.Revision()
	call, cancel := context.WithTimeout(ctx, feedOpenTimeout)
	defer cancel()
	feed, err := f.peers.Feed(call, s.Addr, after)
	if err != nil {
		return err
	}
	defer feed.Close()
	version := f.fleet.Version()
	for started := f.now(); ctx.Err() == nil; {
		news, err := feed.Next(feedTimeout)
		if err != nil {
			return err
		}
		if len(news.Referrals) > 0 {
			return &busyError{news.Referrals}
		}
		news.Age += maxTransitDelay
		if err := f.apply(news); err != nil {
			return err
		}
		followed := f.now().Sub(started)
		switch {
		case news.Age <= maxUpdateAge:
			f.recordSuccess(s)
			patience = 0
		case followed >= patience:
			return errStaleUpdates
		}
		if spare && followed > preferredRetryDelay {
			return nil
		}
		if now := f.fleet.Version(); now != version && !spare && f.shouldSwitchSource(s) {
			return nil
		}
	}
	return nil
}

// busyError means that a host passes news on to too many others, and names some that have them.
type busyError struct{ referrals []netip.AddrPort }

func (*busyError) Error() string { return "the host passes news on to too many others" }

// shouldSwitchSource reports whether the host is to learn from another source, now that it has a place of its own among the
// listed hosts. Until then all of those that start would turn to the few that are listed.
func (f *Follower) shouldSwitchSource(s Source) bool {
	return f.fleet.UpdateSources().Listed && f.Sources()[0] != s
}

// errStaleUpdates means that a host has not heard of the store lately either.
var errStaleUpdates = errors.New("the news is old")

// Sources returns where the host learns what is in the store, the preferred one first.
func (f *Follower) Sources() []Source {
	if f.peers == nil || !f.fleet.AnyListed() {
		return []Source{StoreSource{}}
	}
	feeds := f.fleet.UpdateSources()
	var addrs []netip.AddrPort
	for _, each := range feeds.Hosts {
		addrs = append(addrs, each.Peer)
	}
	if feeds.StoreFirst {
		return append([]Source{StoreSource{}}, hostSources(addrs)...)
	}
	out := hostSources(addrs)
	if len(out) == 0 || serving.ShouldReadStore(f.fleet.Size(), rand.Float64()) {
		out = append(out, StoreSource{})
	}
	return out
}

func hostSources(addrs []netip.AddrPort) []Source {
	var out []Source
	for _, a := range addrs {
		if a.IsValid() {
			out = append(out, HostSource{a})
		}
	}
	return out
}
