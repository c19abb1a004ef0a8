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
	// initialBackoff is the pause after all update sources have failed. It doubles each time that they fail again.
	initialBackoff = 100 * time.Millisecond
	// MaxStoreBackoff bounds the backoff of hosts that read the store themselves.
	MaxStoreBackoff = 400 * time.Millisecond
	// maxHostBackoff bounds the backoff of all other hosts. During a store outage they wait for the hosts that read the
	// store. At 195 hosts, an outage of six seconds cost 4,000 store calls because each host looked for the store itself,
	// and each of these calls came with seven feeds that were opened and closed. The bound is shorter than the time in
	// which hosts must recover.
	maxHostBackoff = 3 * time.Second
	// maxReferralsTried is the number of hosts tried of those that a busy host named.
	maxReferralsTried = 2
	// preferredRetryDelay is how long a host uses a source other than the preferred one before it retries that one.
	preferredRetryDelay = 3 * time.Second
)

// Settings configure a Follower.
type Settings struct {
	// Self is the host's address for other hosts. Seeds are the addresses of some hosts, which may no longer exist.
	Self  netip.AddrPort
	Seeds []netip.AddrPort
	// HostsPrefix is the prefix of the hosts' keys in the store.
	HostsPrefix string
}

// Follower keeps a host's view of the store up to date, from the store itself or from another host. Use New to create
// one. Sources may be called from several goroutines while Run runs.
type Follower struct {
	settings Settings
	store    Store
	// peers is nil for a host that doesn't use other hosts as sources.
	peers Peers
	fleet *fleet.Hosts
	view  *StoreView
	// apply applies an update to the host.
	apply func(StoreUpdate) error
	log   func(event string, fields ...any)
	now   func() time.Time

	// sourceIndex is the index of the source in use, and sourceSince when its use began.
	sourceIndex int
	sourceSince time.Time
	// failures counts consecutive failures of sources. reason is the kind of the last failure.
	failures int
	reason   string
	// backoff is how long the preferred source is used or awaited once all sources have failed.
	backoff time.Duration
	// watchFailed is true after a watch failed. The next one asks for the missed changes without waiting for new ones.
	// watchedAt is when the last watch started.
	watchFailed bool
	watchedAt   time.Time
}

// Ports are the external dependencies of a Follower.
type Ports struct {
	Store Store
	// Peers is nil for a host that doesn't use other hosts as sources.
	Peers Peers
	// Apply applies an update to the host.
	Apply func(StoreUpdate) error
	Log   func(event string, fields ...any)
}

// New returns a Follower. Run starts it.
func New(s Settings, p Ports, f *fleet.Hosts, view *StoreView, now func() time.Time) *Follower {
	return &Follower{
		settings: s, store: p.Store, peers: p.Peers, apply: p.Apply, log: p.Log, fleet: f, view: view, now: now,
		sourceSince: now(), backoff: initialBackoff,
	}
}

// Run follows the update sources until ctx ends.
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

// followPreferred follows the preferred source for the backoff after all sources have failed, even if its updates are
// old: it is the first to receive updates when the store is back.
func (f *Follower) followPreferred(ctx context.Context, s Source) {
	until := f.now().Add(f.backoff + rand.N(f.backoff/2))
	if f.followSource(ctx, s, until.Sub(f.now())) {
		return
	}
	maxBackoff := maxHostBackoff
	if _, ok := s.(StoreSource); ok {
		maxBackoff = MaxStoreBackoff
	}
	f.backoff = min(2*f.backoff, maxBackoff)
	pause.For(ctx, until.Sub(f.now()))
}

// followSource follows a source until it fails or another one should be used. Old updates are tolerated for the duration
// patience. It returns false if the source failed, and moves on to the next one.
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

// followReferrals follows one of the hosts that a busy host named. It returns false if all that it tries fail.
func (f *Follower) followReferrals(ctx context.Context, hosts []netip.AddrPort) bool {
	f.sourceIndex++ // referrals are not preferred sources
	defer func() { f.sourceIndex-- }()
	for _, a := range hosts[:min(len(hosts), maxReferralsTried)] {
		if s := (HostSource{a}); s.follow(ctx, f, 0) == nil {
			return true
		}
	}
	return false
}

// logFailure logs the first failure of a source, and after that each failure of another kind than the previous one.
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

// reasonOf returns the kind of an error of a source.
func reasonOf(err error) string {
	for _, kind := range []error{kv.ErrStale, kv.ErrGap, errStaleUpdates, errNoUpdates, ErrCompacted} {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	return "the source does not respond"
}

// recordSuccess records that a source sent an update that is not too old.
func (f *Follower) recordSuccess(s Source) {
	if f.failures > 0 {
		f.log("source_regained", "source", s.String(), "failures", f.failures)
	}
	f.failures, f.backoff = 0, initialBackoff
}
