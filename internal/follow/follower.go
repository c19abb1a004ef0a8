package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/internal/fleet"
	"pearlatch/internal/pause"
)

const (
	// initialBackoff is the pause after all sources of news failed.
	initialBackoff = 100 * time.Millisecond
	// MaxStoreBackoff bounds that pause for hosts that ask the store themselves, when the sources
	// keep failing.
	MaxStoreBackoff = 400 * time.Millisecond
	// maxHostBackoff bounds it for all others. While the store is away they wait for the hosts that
	// ask it: at 195 hosts, an outage of six seconds cost 4,000 calls in which each looked for
	// the store by itself, and seven feeds opened and dropped for each of these. It is within
	// the time that hosts have to recover in.
	maxHostBackoff = 3 * time.Second
	// maxReferralsTried is how many of the hosts are tried that a busy one has named.
	maxReferralsTried = 2
	// preferredRetryDelay is how long a host keeps to a source that it does not prefer.
	preferredRetryDelay = 3 * time.Second
)

// Settings are what a Follower needs to know at its start.
type Settings struct {
	// Self is the host's address for other hosts, and Seeds are those of some, which may be gone.
	Self  netip.AddrPort
	Seeds []netip.AddrPort
	// HostsPrefix precedes the hosts' entries in the store.
	HostsPrefix string
}

// Follower keeps a host's knowledge of the store up to date, from the store itself or from
// another host. Use New.
type Follower struct {
	settings Settings
	store    Store
	// peers is nil for a host that learns from no other.
	peers Peers
	fleet *fleet.Hosts
	view  *StoreView
	// apply takes news over.
	apply func(StoreUpdate) error
	log   func(event string, fields ...any)
	now   func() time.Time

	// sourceIndex is the index of the source in use, and since when it is in use.
	sourceIndex int
	sourceSince time.Time
	// failures counts sources that failed in a row, and reason says why the last of them did.
	failures int
	reason   string
	// backoff is how long the preferred source is given once all have failed.
	backoff time.Duration
	// watchFailed is true after a watch failed: what it watchFailed is to be asked for. The store was last asked for changes at
	// watchedAt.
	watchFailed bool
	watchedAt   time.Time
}

// Ports are a Follower's ways to the outside.
type Ports struct {
	Store Store
	// Peers is nil for a host that learns from no other.
	Peers Peers
	// Apply takes news over.
	Apply func(StoreUpdate) error
	Log   func(event string, fields ...any)
}

// New returns a Follower that does not run yet.
func New(s Settings, p Ports, f *fleet.Hosts, known *StoreView, now func() time.Time) *Follower {
	return &Follower{
		settings: s, store: p.Store, peers: p.Peers, apply: p.Apply, log: p.Log, fleet: f, view: known, now: now,
		sourceSince: now(), backoff: initialBackoff,
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.peers != nil {
		f.join(ctx)
	}
	for ctx.Err() == nil {
		sources := f.Sources()
		f.sourceIndex %= len(sources)
		if f.sourceIndex == 0 && f.failures > 0 {
			f.followPreferred(ctx, sources[0])
			continue
		}
		f.followSource(ctx, sources[f.sourceIndex], 0)
	}
}

// followPreferred keeps to the preferred source for a while after all have failed, though its news may be old: it
// is the first to tell when the store is back.
func (f *Follower) followPreferred(ctx context.Context, s Source) {
	until := f.now().Add(f.backoff + rand.N(f.backoff/2))
	if f.followSource(ctx, s, until.Sub(f.now())) {
		return
	}
	longest := maxHostBackoff
	if _, asks := s.(StoreSource); asks {
		longest = MaxStoreBackoff
	}
	f.backoff = min(2*f.backoff, longest)
	pause.For(ctx, until.Sub(f.now()))
}

// followSource follows a source for a while, for as long as patience though its news are old. It returns false
// if the source failed, and goes on to the next one.
func (f *Follower) followSource(ctx context.Context, s Source, patience time.Duration) bool {
	err := s.follow(ctx, f, patience)
	if busy := (*busyError)(nil); errors.As(err, &busy) {
		if f.followReferrals(ctx, busy.referrals) {
			return true
		}
	}
	if err != nil {
		f.logFailure(ctx, s, err)
		f.failures++
		f.sourceIndex++
		f.sourceSince = f.now()
		return false
	}
	f.recordSuccess(s)
	if f.sourceIndex > 0 && f.now().Sub(f.sourceSince) > preferredRetryDelay {
		f.sourceIndex, f.sourceSince = 0, f.now()
	}
	return true
}

// followReferrals follows one of the hosts that a busy one has named for a while, and returns false if none has news.
func (f *Follower) followReferrals(ctx context.Context, hosts []netip.AddrPort) bool {
	f.sourceIndex++ // they are no preferred ones
	defer func() { f.sourceIndex-- }()
	for _, a := range hosts[:min(len(hosts), maxReferralsTried)] {
		if s := (HostSource{a}); s.follow(ctx, f, 0) == nil {
			return true
		}
	}
	return false
}

// logFailure writes a line when the first source fails, and whenever the next ones fail for another reason.
func (f *Follower) logFailure(ctx context.Context, s Source, err error) {
	if ctx.Err() != nil {
		return
	}
	reason := reasonOf(err)
	switch {
	case f.failures == 0:
		f.log("source_lost", "source", s.String(), "err", err)
	case reason != f.reason:
		f.log("source_failing", "source", s.String(), "failures", f.failures, "err", err)
	}
	f.reason = reason
}

// reasonOf names what kind of error a source failed with.
func reasonOf(err error) string {
	for _, known := range []error{kv.ErrStale, kv.ErrGap, errStaleUpdates, errNoUpdates, ErrCompacted} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "it does not answer"
}

// recordSuccess records that a source brought news that are not old.
func (f *Follower) recordSuccess(s Source) {
	if f.failures > 0 {
		f.log("source_regained", "source", s.String(), "failures", f.failures)
	}
	f.failures, f.backoff = 0, initialBackoff
}
