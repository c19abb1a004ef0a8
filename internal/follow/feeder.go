package follow

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/internal/fleet"
)

const (
	// newsPause is the longest pause between two messages of a feed. It tells the
	// other side that the feed lives.
	newsPause = 400 * time.Millisecond
	// mostFeeds is how many hosts a host passes news on to: those below it in the tree of feeds, and as many again that
	// have lost their own source. mostLists is to how many at a time it sends the whole list, so that the last of them has
	// it before it takes the feed for lost.
	mostFeeds = 48
	mostLists = 8
	// namedHosts is how many hosts are named to one that is turned away.
	namedHosts = 4
	// turnedAwayAge is the age of the news in the message that turns a host away. Hosts of a version that does not know of
	// that turn to another source because of it.
	turnedAwayAge = time.Hour
)

// Feeder passes on what a host knows. Use NewFeeder.
type Feeder struct {
	known *Knowledge
	fleet *fleet.Hosts
	// stopping reports whether the host is about to end.
	stopping func() bool
	// feeds counts the hosts that news are passed on to, and lists the whole lists that are being sent.
	feeds, lists atomic.Int64
}

// NewFeeder returns a Feeder of what is known. stopping reports whether the host is about to end.
func NewFeeder(known *Knowledge, f *fleet.Hosts, stopping func() bool) *Feeder {
	return &Feeder{known: known, fleet: f, stopping: stopping}
}

// Feed passes on what changed in the store after the revision until ctx ends or send
// fails.
func (f *Feeder) Feed(ctx context.Context, after kv.Revision, send func(News) error) error {
	if f.feeds.Add(1) > mostFeeds {
		f.feeds.Add(-1)
		return f.turnAway(send)
	}
	defer f.feeds.Add(-1)
	for {
		if f.stopping() {
			return errNoNews
		}
		news, changed, err := f.known.After(after)
		if err != nil {
			return err
		}
		if err := f.pass(news, send); err != nil {
			return err
		}
		after = max(after, news.Revision)
		pause := time.NewTimer(newsPause)
		select {
		case <-changed:
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		}
		pause.Stop()
	}
}

// pass sends news, unless they are one whole list more than this host sends at a time.
func (f *Feeder) pass(news News, send func(News) error) error {
	if !news.Full {
		return send(news)
	}
	defer f.lists.Add(-1)
	if f.lists.Add(1) > mostLists {
		return f.turnAway(send)
	}
	return send(news)
}

// errTurnedAway ends a feed to a host that is to ask elsewhere.
var errTurnedAway = errors.New("news are passed on to too many hosts")

// turnAway names other hosts that have the news, if any are known.
func (f *Feeder) turnAway(send func(News) error) error {
	var elsewhere []netip.AddrPort
	for _, o := range f.fleet.Some(namedHosts) {
		elsewhere = append(elsewhere, o.Peer)
	}
	if len(elsewhere) > 0 {
		if err := send(News{Elsewhere: elsewhere, Age: turnedAwayAge}); err != nil {
			return err
		}
	}
	return errTurnedAway
}

// errNoNews means that a host has nothing to pass on, or is about to end.
var errNoNews = errors.New("no news to pass on")
