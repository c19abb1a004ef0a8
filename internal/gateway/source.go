package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
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

// source is where a host learns what is in the store. Its implementations are
// storeSource and peerSource.
type source interface {
	// follow returns nil after a while in which the source did not fail. A source that is not the
	// preferred one is followed for less long. Old news count as a failure only after patience.
	follow(ctx context.Context, f *follower, patience time.Duration) error
	String() string
}

type (
	// storeSource is the store itself.
	storeSource struct{}
	// peerSource is another host.
	peerSource struct{ addr netip.AddrPort }
)

func (storeSource) String() string { return "store" }

func (s peerSource) String() string { return s.addr.String() }

func (storeSource) follow(ctx context.Context, f *follower, _ time.Duration) error {
	return f.host.followStore(ctx)
}

func (s peerSource) follow(ctx context.Context, f *follower, patience time.Duration) error {
	h, spare := f.host, f.at > 0
	h.mu.Lock()
	after := h.view.Revision()
	h.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, feedOpenTimeout)
	defer cancel()
	feed, err := h.ports.Peers.Feed(call, s.addr, after)
	if err != nil {
		return err
	}
	defer feed.Close()
	version := h.fleet.Version()
	for started := h.now(); ctx.Err() == nil; {
		news, err := feed.Next(feedTimeout)
		if err != nil {
			return err
		}
		if len(news.Elsewhere) > 0 {
			return &busyError{news.Elsewhere}
		}
		news.Age += newsTransit
		if err := h.apply(news); err != nil {
			return err
		}
		followed := h.now().Sub(started)
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
		if now := h.fleet.Version(); now != version && !spare && h.prefersAnother(s) {
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
func (h *Host) prefersAnother(s source) bool {
	return h.ports.Peers != nil && h.fleet.Feeds().Placed && h.sources()[0] != s
}

// errStaleNews means that a host has not heard of the store lately either.
var errStaleNews = errors.New("the news is old")

// sources returns where the host learns what is in the store, the preferred one first.
func (h *Host) sources() []source {
	if h.ports.Peers == nil {
		return []source{storeSource{}}
	}
	if !h.fleet.Known() {
		return []source{storeSource{}}
	}
	feeds := h.fleet.Feeds()
	var addrs []netip.AddrPort
	for _, each := range feeds.Hosts {
		addrs = append(addrs, each.Peer)
	}
	if feeds.StoreFirst {
		return append([]source{storeSource{}}, toSources(addrs)...)
	}
	out := toSources(addrs)
	if serving.AsksStore(h.fleet.Size(), rand.Float64()) {
		out = append(out, storeSource{})
	}
	return out
}

func toSources(addrs []netip.AddrPort) []source {
	var out []source
	for _, a := range addrs {
		if a.IsValid() {
			out = append(out, peerSource{a})
		}
	}
	return out
}

// self describes this host to others.
func (h *Host) self() membership.Host {
	return h.fleet.Self()
}
