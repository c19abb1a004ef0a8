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
	// heartbeatInterval is the longest pause between two messages of a feed. It tells the
	// other side that the feed lives.
	heartbeatInterval = 400 * time.Millisecond
	// maxFeeds is how many hosts a host passes news on to: those below it in the tree of feeds, and as many again that
	// have lost their own source. mostLists is to how many at a time it sends the whole list, so that the last of them has
	// it before it takes the feed for lost.
	maxFeeds       = 48
	maxFullUpdates = 8
	// maxReferrals is how many hosts are named to one that is turned away.
	maxReferrals = 4
	// referralAge is the age of the news in the message that turns a host away. Hosts of a version that does not know of
	// that turn to another source because of it.
	referralAge = time.Hour
)

// Feeder passes on what a host knows. Use NewFeeder.
type Feeder struct {
	view  *StoreView
	fleet *fleet.Hosts
	// stopping reports whether the host is about to end.
	stopping func() bool
	// feeds counts the hosts that news are passed on to, and fullUpdates the whole fullUpdates that are being sent.
	feeds, fullUpdates atomic.Int64
}

// NewFeeder returns a Feeder of what is known. stopping reports whether the host is about to end.
func NewFeeder(known *StoreView, f *fleet.Hosts, stopping func() bool) *Feeder {
	return &Feeder{view: known, fleet: f, stopping: stopping}
}

// Feed passes on what changed in the store after the revision until ctx ends or send
// fails.
func (f *Feeder) Feed(ctx context.Context, after kv.Revision, send func(StoreUpdate) error) error {
	if f.feeds.Add(1) > maxFeeds {
		f.feeds.Add(-1)
		return f.redirect(send)
	}
	defer f.feeds.Add(-1)
	for {
		if f.stopping() {
			return errNoUpdates
		}
		news, changed, err := f.view.UpdateSince(after)
		if err != nil {
			return err
		}
		if err := f.sendUpdate(news, send); err != nil {
			return err
		}
		after = max(after, news.Revision)
		pause := time.NewTimer(heartbeatInterval)
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

// sendUpdate sends news, unless they are one whole list more than this host sends at a time.
func (f *Feeder) sendUpdate(news StoreUpdate, send func(StoreUpdate) error) error {
	if !news.Full {
		return send(news)
	}
	defer f.fullUpdates.Add(-1)
	if f.fullUpdates.Add(1) > maxFullUpdates {
		return f.redirect(send)
	}
	return send(news)
}

// errTooManyFeeds ends a feed to a host that is to ask elsewhere.
var errTooManyFeeds = errors.New("news are passed on to too many hosts")

// redirect names other hosts that have the news, if any are known.
func (f *Feeder) redirect(send func(StoreUpdate) error) error {
	var elsewhere []netip.AddrPort
	for _, o := range f.fleet.Sample(maxReferrals) {
		elsewhere = append(elsewhere, o.Peer)
	}
	if len(elsewhere) > 0 {
		if err := send(StoreUpdate{Referrals: elsewhere, Age: referralAge}); err != nil {
			return err
		}
	}
	return errTooManyFeeds
}

// errNoUpdates means that a host has nothing to pass on, or is about to end.
var errNoUpdates = errors.New("no news to pass on")
