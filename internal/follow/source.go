package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/serving"
)

const (
	// feedTimeout is how long a feed may be silent: two messages of a feed may be late.
	feedTimeout = 1100 * time.Millisecond
	// feedOpenTimeout bounds the opening of a feed.
	feedOpenTimeout = 300 * time.Millisecond
	// maxUpdateAge is how old an update from another host may be. The hosts that watch the store have contact with it
	// every watchTimeout, and forward that within heartbeatInterval.
	maxUpdateAge = 1800 * time.Millisecond
	// maxTransitDelay is added to the age of each update received from a host. It exceeds the time that an update is in
	// transit. Otherwise two hosts that have both lost the store and follow each other would make the same update
	// appear younger with each exchange, by its time in transit.
	maxTransitDelay = 50 * time.Millisecond
)

// Source is an update source of a host. Its implementations are StoreSource and HostSource.
type Source interface {
	// follow receives updates from the source and applies them. It returns an error if the source fails, and nil when
	// the caller should choose a source again: the store source after one call, a host source when ctx ends, when
	// another source should be preferred, or after referralDuration if a busy host named it. Old updates
	// count as a failure only after the duration patience.
	follow(ctx context.Context, f *Follower, patience time.Duration) error
	// sendsUpdates reports whether the source sends a recent update. It may be called beside follow of another source.
	// storeTimeout bounds a call to the store.
	sendsUpdates(ctx context.Context, f *Follower, storeTimeout time.Duration) bool
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

func (s StoreSource) follow(ctx context.Context, f *Follower, _ time.Duration) error {
	if err := f.followStore(ctx); err != nil {
		return err
	}
	f.recordSuccess(s, nil)
	f.testPreferred(ctx)
	return nil
}

func (s HostSource) follow(ctx context.Context, f *Follower, patience time.Duration) error {
	openCtx, cancel := context.WithTimeout(ctx, feedOpenTimeout)
	defer cancel()
	feed, err := f.peers.Feed(openCtx, s.Addr, f.feedRequest())
	if err != nil {
		return &unreachedError{err}
	}
	defer feed.Close()
	version := f.fleet.Version()
	for started := f.now(); ctx.Err() == nil; {
		update, err := f.nextUpdate(feed)
		if err != nil {
			return err
		}
		followed := f.now().Sub(started)
		own := slices.Contains(update.Path, f.settings.Self)
		switch {
		case update.Age <= maxUpdateAge && !own:
			f.recordSuccess(s, append([]netip.AddrPort{s.Addr}, update.Path...))
			patience = 0
		case followed < patience: // its updates may change: a source that has lost its own one still names the old path
		case own:
			return errOwnUpdates
		default:
			return errStaleUpdates
		}
		if f.referral && followed > referralDuration || !f.referral && f.testPreferred(ctx) {
			return nil
		}
		if now := f.fleet.Version(); now != version && !f.alternative && !f.referral && f.shouldSwitchSource(s) {
			return nil
		}
	}
	return nil
}

// feedRequest returns a request for the changes that the host does not know.
func (f *Follower) feedRequest() FeedRequest {
	return FeedRequest{After: f.view.Revision(), Receiver: f.settings.Self}
}

// nextUpdate receives and applies the next update of a feed.
func (f *Follower) nextUpdate(feed Feed) (StoreUpdate, error) {
	update, err := feed.Next(feedTimeout)
	if err != nil {
		return update, err
	}
	if len(update.Referrals) > 0 {
		return update, &busyError{update.Referrals}
	}
	update.Age += maxTransitDelay
	return update, f.apply(update)
}

// busyError means that a host forwards updates to too many hosts already. It names other hosts that can send them.
type busyError struct{ referrals []netip.AddrPort }

func (*busyError) Error() string { return "the host passes news on to too many others" }

// unreachedError means that no feed could be opened, so that nothing is known of the host.
type unreachedError struct{ cause error }

func (e *unreachedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unreachedError) Unwrap() error { return e.cause }

// shouldSwitchSource reports whether the host prefers another source than s, now that it is listed and has its own
// position in the tree of update sources. Hosts that are not listed yet keep their source: while a fleet starts, all of
// them would otherwise switch to the few listed hosts.
func (f *Follower) shouldSwitchSource(s Source) bool {
	return f.fleet.UpdateSources().Listed && f.Sources()[0] != s
}

// errStaleUpdates means that the source has had no recent contact with the store either.
var errStaleUpdates = errors.New("the news is old")

// errOwnUpdates means that the source receives its updates through this host. If they followed each other, neither would
// notice before their views are old.
var errOwnUpdates = errors.New("the news comes from this host itself")

// Sources returns the update sources of the host, the preferred one first. It may be called from several goroutines.
func (f *Follower) Sources() []Source {
	var out []Source
	for _, s := range (sourceLists{f}).Sources() {
		out = append(out, toSource(s))
	}
	return out
}

// sourceLists lists a host's sources for its serving.SourceSelector.
type sourceLists struct{ follower *Follower }

var _ serving.SourceLists = sourceLists{}

// Sources implements serving.SourceLists.
func (l sourceLists) Sources() []serving.Source {
	f := l.follower
	if f.peers == nil || !f.fleet.AnyListed() {
		return []serving.Source{serving.StoreSource{}}
	}
	readStore := serving.ShouldReadStore(f.fleet.Size(), rand.Float64())
	return f.fleet.UpdateSources().Order(f.fleet.Sample(serving.SampleSize), readStore)
}

// Sample implements serving.SourceLists.
func (l sourceLists) Sample(n int) []serving.Source {
	if l.follower.peers == nil {
		return nil
	}
	var out []serving.Source
	for _, h := range l.follower.fleet.Sample(n) {
		out = append(out, serving.HostSource{Addr: h.Peer})
	}
	return out
}

func toSource(s serving.Source) Source {
	if h, ok := s.(serving.HostSource); ok {
		return HostSource{h.Addr}
	}
	return StoreSource{}
}
