package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

const (
	// newsPause is the longest pause between two messages of a feed. It tells the
	// other side that the feed lives.
	newsPause = 400 * time.Millisecond
	// mostFeeds is how many hosts a host passes news on to: those below it in the tree of feeds, and as many again that
	// have lost their own source. mostLists is to how many at a time it sends the whole list, of 0.2 MB before 1,000
	// groups: a weak host's link carries that to eight in 0.7 s.
	mostFeeds = 48
	mostLists = 8
	// named is how many hosts are named to one that is turned away.
	named = 4
	// listReuse is how long a whole list is sent to further hosts, with what changed since after it, so that a fleet that
	// starts does not have it put together and compressed for each of them.
	listReuse = time.Second
	// turnedAwayAge is the age of the news in the message that turns a host away. Hosts of a version that does not know of
	// that turn to another source because of it.
	turnedAwayAge = time.Hour
)

// Feed passes on what changed in the store after the revision until ctx ends or send
// fails.
func (h *Host) Feed(ctx context.Context, after kv.Revision, send func(News) error) error {
	if h.feeds.Add(1) > mostFeeds {
		h.feeds.Add(-1)
		return h.turnAway(send)
	}
	defer h.feeds.Add(-1)
	for {
		news, changed, err := h.newsAfter(after)
		if err != nil {
			return err
		}
		if err := h.pass(news, send); err != nil {
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
func (h *Host) pass(news News, send func(News) error) error {
	if !news.Whole {
		return send(news)
	}
	defer h.lists.Add(-1)
	if h.lists.Add(1) > mostLists {
		return h.turnAway(send)
	}
	return send(news)
}

// errTurnedAway ends a feed to a host that is to ask elsewhere.
var errTurnedAway = errors.New("news are passed on to too many hosts")

// turnAway names other hosts that have the news, if any are known.
func (h *Host) turnAway(send func(News) error) error {
	var elsewhere []netip.AddrPort
	for _, o := range h.fleet.Some(named) {
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

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// newsAfter returns what changed after the revision, and what is closed with the next
// change.
func (h *Host) newsAfter(after kv.Revision) (News, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view.Revision() == 0 || h.stopping.Load() {
		return News{}, nil, errNoNews
	}
	n := News{News: h.view.Since(after), Age: h.now().Sub(h.heardAt)}
	if n.Whole {
		n.News = h.wholeNews(n.News)
	}
	if n.Revision < h.view.Revision() {
		return n, closedChannel, nil // more is known already
	}
	return n, h.changed, nil
}

// wholeNews returns the given list, or a recent one from which the changes that follow are known. h.mu is held.
func (h *Host) wholeNews(list kv.News) kv.News {
	now := h.now()
	if h.listed.Revision == 0 || now.Sub(h.listedAt) > listReuse || h.view.Since(h.listed.Revision).Whole {
		h.listed, h.listedAt = list, now
	}
	return h.listed
}

// forgetList drops the list that is kept for further hosts once it is old.
func (h *Host) forgetList() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now().Sub(h.listedAt) > listReuse {
		h.listed = kv.News{}
	}
}
