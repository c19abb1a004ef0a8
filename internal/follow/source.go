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
	// staleNews is how old another host's news may be. The hosts that watch the store
	// hear of it every watchWait, and pass that on after newsPause at most.
	staleNews = 1800 * time.Millisecond
	// newsTransit is what the age of news grows by on its way, above what it takes. Two
	// hosts that have both lost the store and follow each other would otherwise make
	// the same news younger and younger, by the time that they are under way.
	newsTransit = 50 * time.Millisecond
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
	// FromStore is the store itself.
	FromStore struct{}
	// FromHost is another host.
	FromHost struct{ Addr netip.AddrPort }
)

func (FromStore) String() string { return "store" }

func (s FromHost) String() string { return s.Addr.String() }

func (FromStore) follow(ctx context.Context, f *Follower, _ time.Duration) error {
	return f.followStore(ctx)
}

func (s FromHost) follow(ctx context.Context, f *Follower, patience time.Duration) error {
	spare, after := f.at > 0, f.known.Revision()
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
		if len(news.Elsewhere) > 0 {
			return &busyError{news.Elsewhere}
		}
		news.Age += newsTransit
		if err := f.apply(news); err != nil {
			return err
		}
		followed := f.now().Sub(started)
		switch {
		case news.Age <= staleNews:
			f.heard(s)
			patience = 0
		case followed >= patience:
			return errStaleNews
		}
		if spare && followed > preferAgain {
			return nil
		}
		if now := f.fleet.Version(); now != version && !spare && f.prefersAnother(s) {
			return nil
		}
	}
	return nil
}

// busyError means that a host passes news on to too many others, and names some that have them.
type busyError struct{ elsewhere []netip.AddrPort }

func (*busyError) Error() string { return "the host passes news on to too many others" }

// prefersAnother reports whether the host is to learn from another source, now that it has a place of its own among the
// listed hosts. Until then all of those that start would turn to the few that are listed.
func (f *Follower) prefersAnother(s Source) bool {
	return f.fleet.Feeds().Listed && f.Sources()[0] != s
}

// errStaleNews means that a host has not heard of the store lately either.
var errStaleNews = errors.New("the news is old")

// Sources returns where the host learns what is in the store, the preferred one first.
func (f *Follower) Sources() []Source {
	if f.peers == nil || !f.fleet.Known() {
		return []Source{FromStore{}}
	}
	feeds := f.fleet.Feeds()
	var addrs []netip.AddrPort
	for _, each := range feeds.Hosts {
		addrs = append(addrs, each.Peer)
	}
	if feeds.StoreFirst {
		return append([]Source{FromStore{}}, toSources(addrs)...)
	}
	out := toSources(addrs)
	if len(out) == 0 || serving.ShouldReadStore(f.fleet.Size(), rand.Float64()) {
		out = append(out, FromStore{})
	}
	return out
}

func toSources(addrs []netip.AddrPort) []Source {
	var out []Source
	for _, a := range addrs {
		if a.IsValid() {
			out = append(out, FromHost{a})
		}
	}
	return out
}
