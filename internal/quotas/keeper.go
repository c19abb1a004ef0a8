package quotas

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"pearlatch/core/account"
	"pearlatch/core/quota"
)

// Settings are what a Keeper needs to know at its start.
type Settings struct {
	// Host and Process name this host and its process.
	Host, Process string
	Tolerance     quota.Tolerance
}

// Enforcer keeps a host's accounts within their quotas. Accounts are spread over shards by a hash of their name; the
// host that holds a shard's duty is their granter. Use New.
type Enforcer struct {
	settings Settings
	fleet    Fleet
	logger   log.Logger
	now      func() time.Time

	mu sync.Mutex
	// shardNames holds the shards, in order, and accounts the quotas that are in force.
	shardNames []string
	accounts   *account.Directory
	shards     map[string]*shard
}

// shard is what the host holds and gives of the accounts of one shard.
type shard struct {
	name string

	mu sync.Mutex
	*quota.Shard
	// requestPending is true while a question to the granter is under way.
	requestPending bool
	// failingSince is since when the granter has not answered, or zero; nextRequestAt is when it is asked again.
	failingSince, nextRequestAt time.Time
	// changed is closed and replaced when operations that wait may look again.
	changed chan struct{}
	// recording is true while hosts are being made known to successors, which is tried again at enterAt.
	recording    bool
	nextRecordAt time.Time
	// reports holds, by host, when it is asked next what it holds.
	reports map[string]*reportState
}

// reportState is when a host is asked what it holds.
type reportState struct {
	pending bool
	nextAt  time.Time
	backoff time.Duration
}

// New returns a Keeper without accounts. now reads a clock that goes on while the machine is suspended.
func New(s Settings, f Fleet, logger log.Logger, now func() time.Time) *Enforcer {
	return &Enforcer{settings: s, fleet: f, logger: logger, now: now, shards: map[string]*shard{}}
}

// Configure takes over the accounts in force, and the shards that they are spread over.
func (k *Enforcer) Configure(accounts *account.Directory, shards []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accounts, k.shardNames = accounts, slices.Sorted(slices.Values(shards))
}

// shardForAccount returns the shard of an account, or nil while there is none.
func (k *Enforcer) shardForAccount(name string) *shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	best, most := "", uint64(0)
	for _, each := range k.shardNames {
		if score := rendezvousScore(each, name); best == "" || score > most {
			best, most = each, score
		}
	}
	if best == "" {
		return nil
	}
	return k.getOrCreateShard(best)
}

// rendezvousScore is a shard's rendezvousScore to an account, by rendezvous hashing.
func rendezvousScore(shard, account string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(shard)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(account)
	return d.Sum64()
}

// getOrCreateShard returns a getOrCreateShard. k.mu is held.
func (k *Enforcer) getOrCreateShard(name string) *shard {
	s := k.shards[name]
	if s == nil {
		s = &shard{name: name, Shard: quota.NewShard(), changed: make(chan struct{}), reports: map[string]*reportState{}}
		k.shards[name] = s
	}
	return s
}

func (k *Enforcer) shardByName(name string) *shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.getOrCreateShard(name)
}

func (k *Enforcer) allShards() []*shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]*shard, 0, len(k.shards))
	for _, s := range k.shards {
		out = append(out, s)
	}
	return out
}

// quotaOf returns an account's quota by this host's configuration, or false if there is no such account.
func (k *Enforcer) quotaOf(name string) (account.Quota, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.accounts == nil {
		return account.Quota{}, false
	}
	a := k.accounts.Account(name)
	if a == nil {
		return account.Quota{}, false
	}
	return a.Quota, true
}

// Admit lets an operation of an account begin, or returns false and when its caller may come back. It may wait for
// the granter until the given time.
func (k *Enforcer) Admit(ctx context.Context, a *account.Account, until time.Time) (ok bool, after time.Duration) {
	if a.Quota.Unlimited() {
		return true, 0
	}
	s := k.shardForAccount(a.Name)
	if s == nil {
		return false, requestRetryDelay
	}
	now := k.now()
	until = earlier(until, now.Add(maxGranterDelay))
	s.mu.Lock()
	defer s.mu.Unlock()
	v, after := s.Shard.Begin(a.Name, a.Quota, now)
	for v == quota.AskGranter && s.mayWait(now, until) {
		s.AddWaiter(a.Name)
		k.sendRequest(s)
		s.waitForChange(ctx, until.Sub(now))
		now = k.now()
		v, after = s.RemoveWaiter(a.Name, now)
	}
	if v == quota.Admitted && s.RequestDue(a.Name, now) {
		k.sendRequest(s)
	}
	if v == quota.AskGranter {
		after = max(requestRetryDelay, s.RetryAfter(a.Name, now))
	}
	return v == quota.Admitted, after
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mayWait reports whether an operation may wait for the granter. The shard's lock is held.
func (s *shard) mayWait(now, until time.Time) bool {
	lost := !s.failingSince.IsZero() && now.Sub(s.failingSince) > granterLossTimeout
	return now.Before(until) && !lost
}

// waitForChange waits for a change, at most for the given time. The shard's lock is given back meanwhile.
func (s *shard) waitForChange(ctx context.Context, atMost time.Duration) {
	changed := s.changed
	s.mu.Unlock()
	timer := time.NewTimer(atMost)
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	s.mu.Lock()
}

// notify lets operations that wait look again. The shard's lock is held.
func (s *shard) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ReturnToken gives the token of an operation back that has certainly not run.
func (k *Enforcer) ReturnToken(a *account.Account) {
	if a.Quota.Unlimited() {
		return
	}
	if s := k.shardForAccount(a.Name); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Shard.ReturnToken(a.Name)
	}
}

// Run renews portions and looks after the shards of which this host is the granter, until ctx ends.
func (k *Enforcer) Run(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, s := range k.allShards() {
			s.mu.Lock()
			s.RemoveIdle(k.now())
			k.sendRequest(s)
			k.requestReports(s)
			s.mu.Unlock()
		}
	}
}
