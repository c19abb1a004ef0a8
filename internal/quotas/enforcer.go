package quotas

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/account"
	"pearlatch/core/quota"
	"pearlatch/core/quota/share"
)

// Settings configure an Enforcer.
type Settings struct {
	// Host and Process identify this host and its process.
	Host, Process string
	Tolerance     quota.Tolerance
	// PortionShare is the fraction of each quota that this host grants as portions when it is the granter.
	PortionShare share.Portions
	// Metrics receives the Enforcer's metrics. With nil nothing is recorded.
	Metrics metrics.Registry
}

// Enforcer enforces the quotas of the client accounts on a host. Accounts are distributed over shards by a hash of
// their name. The host that holds a shard's duty is the granter of its accounts. Use New to create an Enforcer. Its
// methods may be called from several goroutines.
type Enforcer struct {
	settings Settings
	fleet    Fleet
	logger   log.Logger
	now      func() time.Time

	mu sync.Mutex
	// shardNames are the names of the shards, sorted. accounts contains the quotas in force.
	shardNames []string
	accounts   *account.Directory
	shards     map[string]*shard
	// shardNameOf holds the shards of accounts, as far as they are known.
	shardNameOf map[string]string
	// reservesStale is true if reserves is to start again.
	reservesStale bool

	reserves reserveScan
}

// holdersVersion identifies what the reserve holders of a shard and the order in which they are asked depend on.
type holdersVersion struct {
	known   bool
	fleet   uint64
	granter string
}

// shard is the host's state of one shard: what it holds and, if it is the granter, what it has granted.
type shard struct {
	name string

	mu sync.Mutex
	*quota.Shard
	// requestPending is true while a request to the granter is in progress.
	requestPending bool
	// No request is sent before nextRequestAt.
	nextRequestAt time.Time
	// holdersVersion is that for which the reserve holders were last set.
	holdersVersion holdersVersion
	// reserveLoggedAt is when a request to a reserve holder was last logged. reserveAsks counts these requests, and
	// reserveTokens the tokens received, since the granter stopped responding.
	reserveLoggedAt            time.Time
	reserveAsks, reserveTokens int
	// changed is closed and replaced when waiting operations should check again.
	changed chan struct{}
	// recording is true while hosts are being recorded for a successor. After a failure this is not retried before
	// nextRecordAt, and for reserve holders alone not before nextHoldersAt.
	recording                   bool
	nextRecordAt, nextHoldersAt time.Time
	// reports holds the state of the report requests to each host.
	reports map[string]*reportState
}

// reportState is the state of the report requests to a host: whether one is in progress, when the next may be sent,
// and the current backoff.
type reportState struct {
	pending bool
	nextAt  time.Time
	backoff time.Duration
}

// New returns an Enforcer without accounts. now must read a clock that advances while the machine is suspended.
func New(s Settings, f Fleet, logger log.Logger, now func() time.Time) *Enforcer {
	return &Enforcer{settings: s, fleet: f, logger: logger, now: now, shards: map[string]*shard{}, shardNameOf: map[string]string{}}
}

// Configure sets the accounts in force, and the shards over which they are distributed.
func (e *Enforcer) Configure(accounts *account.Directory, shards []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := slices.Sorted(slices.Values(shards))
	if !slices.Equal(names, e.shardNames) {
		clear(e.shardNameOf)
	}
	e.accounts, e.shardNames, e.reservesStale = accounts, names, true
}

// shardForAccount returns the shard of an account, or nil if there are no shards.
func (e *Enforcer) shardForAccount(name string) *shard {
	e.mu.Lock()
	defer e.mu.Unlock()
	best := e.shardName(name)
	if best == "" {
		return nil
	}
	return e.getOrCreateShard(best)
}

// shardName returns the name of an account's shard, or an empty one if there are no shards. e.mu must be held.
func (e *Enforcer) shardName(name string) string {
	best, bestScore := e.shardNameOf[name], uint64(0)
	if best != "" || len(e.shardNames) == 0 {
		return best
	}
	for _, candidate := range e.shardNames {
		if score := rendezvousScore(candidate, name); best == "" || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	e.shardNameOf[name] = best
	return best
}

// rendezvousScore returns a shard's score for an account. By rendezvous hashing, the shard with the highest score has
// the account.
func rendezvousScore(shard, account string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(shard)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(account)
	return d.Sum64()
}

// getOrCreateShard returns the shard with the given name, and creates it on first use. e.mu must be held.
func (e *Enforcer) getOrCreateShard(name string) *shard {
	s := e.shards[name]
	if s == nil {
		s = &shard{name: name, Shard: quota.NewShard(), changed: make(chan struct{}), reports: map[string]*reportState{}}
		e.shards[name] = s
	}
	return s
}

func (e *Enforcer) shardByName(name string) *shard {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.getOrCreateShard(name)
}

func (e *Enforcer) allShards() []*shard {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*shard, 0, len(e.shards))
	for _, s := range e.shards {
		out = append(out, s)
	}
	return out
}

// quotaOf returns an account's quota in this host's configuration, or false if there is no such account.
func (e *Enforcer) quotaOf(name string) (account.Quota, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.accounts == nil {
		return account.Quota{}, false
	}
	a := e.accounts.Account(name)
	if a == nil {
		return account.Quota{}, false
	}
	return a.Quota, true
}

// Admit reports whether an operation of an account may start. If not, retryAfter is how long the caller should wait before it retries.
// It waits for a token until the given time at most, and no longer than maxTokenDelay.
func (e *Enforcer) Admit(ctx context.Context, a *account.Account, until time.Time) (ok bool, retryAfter time.Duration) {
	if a.Quota.Unlimited() {
		return true, 0
	}
	s := e.shardForAccount(a.Name)
	if s == nil {
		return false, requestRetryDelay
	}
	now := e.now()
	until = earlier(until, now.Add(maxTokenDelay))
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, retryAfter := s.Begin(a.Name, a.Quota, now, until)
	if decision == quota.Wait {
		decision, retryAfter = e.wait(ctx, s, a.Name, until)
	}
	if decision == quota.Admitted && s.RequestDue(a.Name, e.now()) {
		e.sendRequest(s)
	}
	return decision == quota.Admitted, retryAfter
}

// wait requests a token for an operation from the granter and the reserve holders and waits for it until the given time
// at most. s.mu must be held, and is released while waiting.
func (e *Enforcer) wait(ctx context.Context, s *shard, name string, until time.Time) (quota.Decision, time.Duration) {
	ticket := s.AddWaiter(name)
	for {
		now := e.now()
		if ctx.Err() != nil {
			until = now
		}
		if now.Before(until) {
			e.sendRequest(s)
			e.requestReserve(s)
		}
		decision, after := s.Decide(name, ticket, now, until)
		if decision != quota.Wait {
			return decision, after
		}
		timeout := until.Sub(now)
		if after > 0 {
			timeout = min(timeout, after)
		}
		s.waitForChange(ctx, timeout)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitForChange waits for a change, no longer than timeout. s.mu must be held, and is released while waiting.
func (s *shard) waitForChange(ctx context.Context, timeout time.Duration) {
	changed := s.changed
	s.mu.Unlock()
	timer := time.NewTimer(timeout)
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	s.mu.Lock()
}

// notify wakes the waiting operations. s.mu must be held.
func (s *shard) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ReturnToken returns the token of an operation that has certainly not run.
func (e *Enforcer) ReturnToken(a *account.Account) {
	if a.Quota.Unlimited() {
		return
	}
	if s := e.shardForAccount(a.Name); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Shard.ReturnToken(a.Name)
	}
}

// Run renews portions and maintains the shards of which this host is the granter, until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		e.assignReserves()
		for _, s := range e.allShards() {
			s.mu.Lock()
			s.RemoveIdle(e.now())
			e.sendRequest(s)
			e.requestReports(s)
			s.mu.Unlock()
		}
	}
}
