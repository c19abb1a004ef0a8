package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/serving"
	"pearlatch/internal/fleet"
	"pearlatch/internal/pause"
)

// MaxStoreBackoff bounds the backoff of hosts that read the store themselves.
const MaxStoreBackoff = serving.MaxStoreBackoff

// referralDuration is how long a host uses a referral before it asks the busy host again.
const referralDuration = serving.AlternativeDuration

// maxReferralsTried is the number of hosts tried of those that a busy host named.
const maxReferralsTried = 2

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

	// selector chooses the source. alternative is true while the present source is not the preferred one, and referral while
	// it was named by a busy host.
	selector              serving.SourceSelector
	alternative, referral bool
	// test receives whether the preferred source works from the test that goes on, or is nil.
	test <-chan bool
	// failures counts consecutive failures of sources. reason is the kind of the last failure.
	failures int
	reason   string
	// watchFailed is true after a watch failed. The next one asks for the missed changes without waiting for new ones.
	// storeSlow is true if the last answer came more than watchResponseDelay after the wait. watchedAt is when the last
	// watch started.
	watchFailed, storeSlow bool
	watchedAt              time.Time
	// watchTimeouts counts the watches that took too long since the last update from any source. The first one may be of a
	// store that was silent.
	watchTimeouts int
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
	}
}

// Run follows the update sources until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.peers != nil {
		f.join(ctx)
	}
	for ctx.Err() == nil {
		f.testPreferred(ctx)
		switch step := f.selector.Next(sourceLists{f}, rand.Float64()).(type) {
		case serving.AwaitSource:
			pause.For(ctx, step.For)
			f.selector.Waited(sourceLists{f}, f.now(), rand.Float64())
		case serving.FollowSource:
			f.alternative = step.Alternative
			until := f.now().Add(step.Patience)
			if f.followSource(ctx, toSource(step.Source), step.Patience) {
				continue
			}
			pause.For(ctx, until.Sub(f.now()))
			f.selector.Failed(sourceLists{f}, f.now(), rand.Float64())
		}
	}
}

// followSource follows a source until it fails or another one should be used. Old updates are tolerated for the duration
// patience. It returns false if the source failed.
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
		return false
	}
	return true
}

// followReferrals follows one of the hosts that a busy host named. It returns false if all that it tries fail.
func (f *Follower) followReferrals(ctx context.Context, hosts []netip.AddrPort) bool {
	f.referral = true
	defer func() { f.referral = false }()
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
	for _, kind := range []error{kv.ErrStale, kv.ErrGap, errStaleUpdates, errOwnUpdates, errNoUpdates, ErrCompacted} {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	return "the source does not respond"
}

// recordSuccess records that a source sent an update that is not too old, which came to this host on the path.
func (f *Follower) recordSuccess(s Source, path []netip.AddrPort) {
	if f.failures > 0 {
		f.log("source_regained", "source", s.String(), "failures", f.failures)
	}
	f.failures, f.watchTimeouts = 0, 0
	f.view.SetPath(path)
	f.selector.Updated(f.now(), rand.Float64())
}
