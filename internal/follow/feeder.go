package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/joining"
	"pearlatch/internal/fleet"
)

const (
	// heartbeatInterval is the longest time between two messages of a feed. A message without changes shows the
	// receiver that the feed is alive.
	heartbeatInterval = 500 * time.Millisecond
	// maxFeeds bounds the hosts that a host forwards updates to: those below it in the tree of update sources, and as
	// many again that have lost their own source. maxFullUpdates bounds the full updates that it sends at the same time,
	// so that the last receiver has its update before it considers the feed lost.
	maxFeeds       = 48
	maxFullUpdates = 8
	// maxReferrals is the number of hosts that are named to a redirected host.
	maxReferrals = 4
	// referralAge is the age stated in the message that redirects a host. Hosts of a version that does not know referrals
	// switch to another source because of this age.
	referralAge = time.Hour
)

// Feeder forwards store updates to other hosts. Use NewFeeder to create one. Its methods may be called from several
// goroutines.
type Feeder struct {
	view  *StoreView
	fleet *fleet.Hosts
	// stopping reports whether the host is shutting down.
	stopping func() bool
	// feeds counts the open feeds, and fullUpdates the full updates that are being sent.
	feeds, fullUpdates atomic.Int64

	mu sync.Mutex
	// receivers are the hosts that were last sent a full update.
	receivers joining.Receivers
}

// NewFeeder returns a Feeder that forwards the contents of view. stopping reports whether the host is shutting down.
func NewFeeder(view *StoreView, f *fleet.Hosts, stopping func() bool) *Feeder {
	return &Feeder{view: view, fleet: f, stopping: stopping}
}

// Feed sends the changes of the store that the request asks for until ctx ends or send fails. It returns an error at
// once if too many feeds are open, after it has named other hosts to the receiver.
func (f *Feeder) Feed(ctx context.Context, r FeedRequest, send func(StoreUpdate) error) error {
	after := r.After
	if f.feeds.Add(1) > maxFeeds {
		f.feeds.Add(-1)
		return f.redirect(send)
	}
	defer f.feeds.Add(-1)
	f.awaitFirstRead(ctx)
	for {
		if f.stopping() {
			return errNoUpdates
		}
		update, changed, err := f.view.UpdateSince(after)
		if err != nil {
			return err
		}
		if err := f.sendUpdate(update, r.Receiver, send); err != nil {
			return err
		}
		after = max(after, update.Revision)
		heartbeat := time.NewTimer(heartbeatInterval)
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-ctx.Done():
			heartbeat.Stop()
			return ctx.Err()
		}
		heartbeat.Stop()
	}
}

// firstReadWait bounds the wait for this host's first read of the store. The receiver can ask other hosts instead.
const firstReadWait = 300 * time.Millisecond

// awaitFirstRead waits for this host's first read of the store if one is in progress. The receiver would otherwise back
// off before it asks again.
func (f *Feeder) awaitFirstRead(ctx context.Context) {
	read := f.view.firstStoreRead()
	if read == nil {
		return
	}
	timer := time.NewTimer(firstReadWait)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sendUpdate sends the update, or redirects the receiver if the update is full and this host already sends as many full
// updates as allowed.
func (f *Feeder) sendUpdate(update StoreUpdate, receiver netip.AddrPort, send func(StoreUpdate) error) error {
	if !update.Full {
		return send(update)
	}
	defer f.fullUpdates.Add(-1)
	if f.fullUpdates.Add(1) > maxFullUpdates {
		return f.redirect(send)
	}
	err := send(update)
	if err == nil {
		f.noteReceiver(receiver)
	}
	return err
}

// noteReceiver records that the host was sent a full update.
func (f *Feeder) noteReceiver(receiver netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivers.Add(receiver, f.view.now())
}

// errTooManyFeeds ends the feed of a host that is redirected to other hosts.
var errTooManyFeeds = errors.New("news are passed on to too many hosts")

// redirect names other hosts from which the receiver can get updates, if any are known.
func (f *Feeder) redirect(send func(StoreUpdate) error) error {
	if referrals := f.referrals(); len(referrals) > 0 {
		if err := send(StoreUpdate{Referrals: referrals, Age: referralAge}); err != nil {
			return err
		}
	}
	return errTooManyFeeds
}

// referrals returns hosts that were sent a full update recently, or random hosts if there are none.
func (f *Feeder) referrals() []netip.AddrPort {
	f.mu.Lock()
	out := f.receivers.Sample(maxReferrals, f.view.now(), rand.Float64)
	f.mu.Unlock()
	if len(out) > 0 {
		return out
	}
	for _, o := range f.fleet.Sample(maxReferrals) {
		out = append(out, o.Peer)
	}
	return out
}

// errNoUpdates means that a host has no view of the store yet, or is shutting down.
var errNoUpdates = errors.New("no news to pass on")
