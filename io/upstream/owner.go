package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pearlatch/core/config"
	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

// stepInterval is the interval at which the owner checks for members that do not
// answer, and for other due actions, when nothing else wakes it.
const stepInterval = 10 * time.Millisecond

// idleStepInterval replaces stepInterval while the group is idle.
const idleStepInterval = 200 * time.Millisecond

// Owner owns a database group: it holds the group's connections, confirms its
// writes and runs its failover. Start creates an Owner. Its methods are safe for
// concurrent use.
type Owner struct {
	options     Options
	logger      log.Logger
	probers     []*prober
	pool        *pool
	marks       freshness.SessionMarks
	fixed       fixedPrimary
	stats       ownerStats
	wakeup      chan struct{}
	stop        context.CancelFunc
	done        sync.WaitGroup
	currentView atomic.Pointer[view]
	// lastRequest is when the latest request arrived, in Unix nanoseconds.
	lastRequest atomic.Int64

	mu              sync.Mutex
	samples         []group.Sample
	sampleConns     []uint64    // control connection of each sample
	unansweredSince []time.Time // when probes of the member began to fail; zero while they succeed
	connRefused     []bool      // the member refused or reset the connection
	leaving         []bool
	history         freshness.PositionHistory
	phase           Phase
	leadership      *leadership
	waiters         map[*confirmWaiter]struct{}
	// lastTerm is the term that ended with the latest promotion by this owner, and
	// lastEnd the position up to which its log survived.
	lastTerm group.Term
	lastEnd  group.LSN
	// notBefore is the earliest time of the next action, and attachAfter that of the
	// next attach of each member.
	notBefore   time.Time
	attachAfter []time.Time
	started     time.Time

	// rivalFence is the highest fence seen while no primary was known,
	// rivalWaitUntil the end of the wait for the promotion by its host, and
	// rivalWaits the number of such waits.
	rivalFence     group.Fence
	rivalWaitUntil time.Time
	rivalWaits     int
	// foreignSessions is the number of sessions of other owners, counted at sweptAt.
	foreignSessions int
	sweptAt         time.Time
	// predecessorReleased is true once the previous owner has reported that it sends
	// no more answers that depend on its lease, so that this owner need not wait for
	// the lease to end.
	predecessorReleased bool

	// lockDeniedAt is when another session was first found to hold the owner lock,
	// and forcedUnlocks the number of such sessions ended. Only actions started by
	// run use them.
	lockDeniedAt  time.Time
	forcedUnlocks int
}

// leadership is the state of leading the group in one term, under an owner lock on
// the primary.
type leadership struct {
	primary int
	term    group.Term
	// conn is the number of the control connection that holds the owner lock. An
	// answer over another connection does not show that the lock is still held.
	conn uint64
	// floor is the primary's position in the sample requested after the lock was
	// taken.
	floor group.Position
	// ackAfter is when the previous owner's lease has certainly ended. Until then
	// that owner may still answer reads, which would miss a write acknowledged
	// here.
	ackAfter time.Time
	// leaseUntil and confirmedAt are as in view.
	leaseUntil, confirmedAt time.Time
}

// Start starts an owner of the group. The caller must call Close to stop it.
func Start(o Options) *Owner {
	n := len(o.Group.Members)
	ctx, stop := context.WithCancel(context.Background())
	owner := &Owner{
		options:         o,
		logger:          log.With(o.Logger, "group", o.Group.Name),
		wakeup:          make(chan struct{}, 1),
		stop:            stop,
		samples:         make([]group.Sample, n),
		sampleConns:     make([]uint64, n),
		unansweredSince: make([]time.Time, n),
		connRefused:     make([]bool, n),
		leaving:         make([]bool, n),
		waiters:         map[*confirmWaiter]struct{}{},
		started:         time.Now(),

		attachAfter: make([]time.Time, n),

		stats: newOwnerStats(o.Metrics, o.Group.Name),
	}
	for i, m := range o.Group.Members {
		owner.leaving[i] = m.Leaving
		owner.probers = append(owner.probers, newProber(o, m, owner.probeInterval, func(a probeResult) { owner.observe(i, a) }))
	}
	owner.publish()
	owner.pool = newPool(owner)
	for _, p := range owner.probers {
		owner.done.Go(func() { p.run(ctx) })
	}
	owner.done.Go(func() { owner.run(ctx) })
	return owner
}

const (
	// idleTimeout is the time without requests after which a group is idle.
	idleTimeout = time.Second
	// idleProbeInterval is the minimum interval between probes of an idle group's
	// members. No request waits for the results, and the next request makes all
	// members be probed at once.
	idleProbeInterval = 2 * time.Second
)

// probeInterval returns the current interval between two probes of a member.
func (o *Owner) probeInterval() time.Duration {
	if o.view().phase == Serving && time.Since(time.Unix(0, o.lastRequest.Load())) > idleTimeout {
		return max(idleProbeInterval, o.options.Group.Timing.ProbeInterval)
	}
	return o.options.Group.Timing.ProbeInterval
}

// recordRequest records the arrival of a request, and has the members of an idle
// group probed at once.
func (o *Owner) recordRequest() {
	now := time.Now()
	last := time.Unix(0, o.lastRequest.Swap(now.UnixNano()))
	if now.Sub(last) > idleTimeout {
		o.probeAll()
	}
}

// Group returns the configuration of the group.
func (o *Owner) Group() config.Group { return o.options.Group }

// run carries out due actions until ctx ends.
func (o *Owner) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.step(ctx)
		t := time.NewTimer(o.stepDelay())
		select {
		case <-o.wakeup:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// stepDelay returns how long run waits before its next step. The result of a probe
// wakes it earlier.
func (o *Owner) stepDelay() time.Duration {
	if o.probeInterval() >= idleProbeInterval {
		return idleStepInterval
	}
	return stepInterval
}

// wake makes run take its next step at once.
func (o *Owner) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// step carries out the action that is due, if any.
func (o *Owner) step(ctx context.Context) {
	switch a := o.nextAction(time.Now()).(type) {
	case takeLock:
		o.takeLock(ctx, a)
	case promote:
		o.promote(ctx, a)
	case switchOver:
		o.switchOver(ctx, a)
	case attach:
		o.attach(ctx, a)
	case sweep:
		o.sweep(ctx)
	case nil:
	}
}

// observe records the result of a probe of member i and publishes the new view.
func (o *Owner) observe(i int, a probeResult) {
	o.mu.Lock()
	switch a := a.(type) {
	case probeAnswered:
		o.samples[i], o.sampleConns[i] = a.sample, a.conn
		o.unansweredSince[i], o.connRefused[i] = time.Time{}, false
	case probeFailed:
		if o.unansweredSince[i].IsZero() {
			o.unansweredSince[i] = time.Now()
			_ = level.Warn(o.logger).Log("step", "probe", "peer", o.options.Group.Members[i].Name, "err", a.err)
		}
		o.connRefused[i] = a.connRefused
	}
	o.applySamples()
	o.publish()
	o.mu.Unlock()
	if _, miss := a.(probeFailed); miss {
		o.pool.closeReplica(i)
	}
	o.pool.dispatch()
	o.wake()
}

// applySamples renews the lease and resolves waiters as far as the samples allow. It
// does nothing unless the primary's sample comes from the connection that holds the
// owner lock. o.mu must be held.
func (o *Owner) applySamples() {
	l := o.leadership
	if l == nil || o.sampleConns[l.primary] != l.conn {
		return
	}
	if o.samples[l.primary].Status.Fence.Term != l.term || o.samples[l.primary].Status.InRecovery {
		return
	}
	if c, ok := group.Confirm(o.samples, l.primary, time.Time{}); ok {
		l.confirmedAt = c.AsOf
		l.leaseUntil = c.AsOf.Add(o.options.Group.Timing.Lease)
		o.history.Observe(c.AsOf, group.Position{Term: l.term, LSN: o.samples[l.primary].Status.Received})
	}
	o.resolveWaiters(l)
	o.pruneMarks(l)
}

// pruneMarks removes the session marks that all replicas have reached. It removes
// none while a replica has no sample or does not follow the primary: when that
// replica returns, it must be checked against the marks. o.mu must be held.
func (o *Owner) pruneMarks(l *leadership) {
	reached := group.Position{Term: l.term, LSN: o.samples[l.primary].Status.Received}
	for i, s := range o.samples {
		if i == l.primary {
			continue
		}
		if !s.Answered() || !group.Follows(s.Status, o.samples[l.primary].Status) {
			return
		}
		reached.LSN = min(reached.LSN, s.Status.Replayed)
	}
	if reached.Compare(l.floor) >= 0 && o.marks.Len() > 0 {
		o.marks.Prune(reached)
	}
}

// publish stores a new view of the current state. o.mu must be held.
func (o *Owner) publish() {
	v := &view{phase: o.phase, primary: group.NoMember, successor: group.NoMember, members: make([]memberView, len(o.samples))}
	for i := range o.samples {
		v.members[i].present = o.samples[i].Answered() && o.unansweredSince[i].IsZero()
		v.members[i].leaving = o.leaving[i]
	}
	if l := o.leadership; l != nil {
		v.primary, v.term, v.floor = l.primary, l.term, l.floor
		v.leaseUntil, v.confirmedAt = l.leaseUntil, l.confirmedAt
		o.viewReplicas(v, l)
		if o.phase == Switching || o.phase == Promoting {
			v.successor = o.likelySuccessor(l)
		}
	}
	o.currentView.Store(v)
}

// likelySuccessor returns the promotable replica that has received the most WAL, or
// group.NoMember. o.mu must be held.
func (o *Owner) likelySuccessor(l *leadership) int {
	best := group.NoMember
	for i, s := range o.samples {
		if i == l.primary || o.leaving[i] || !s.Answered() || !s.Status.InRecovery || !o.unansweredSince[i].IsZero() {
			continue
		}
		if best == group.NoMember || s.Status.Received > o.samples[best].Status.Received {
			best = i
		}
	}
	return best
}

// viewReplicas sets the positions and ages of the replicas in v. o.mu must be held.
func (o *Owner) viewReplicas(v *view, l *leadership) {
	p := o.samples[l.primary].Status
	for i, s := range o.samples {
		if i == l.primary || !s.Answered() || !s.Status.InRecovery || s.Status.Fence.Term != l.term {
			continue
		}
		m := &v.members[i]
		// A replica that has not replayed the term's first record shows data of an
		// older term, so its position belongs to that term.
		m.replica.Position = group.Position{Term: s.Status.LogTerm, LSN: s.Status.Replayed}
		m.follows = group.Follows(s.Status, p) || s.Status.LogTerm == l.term
		m.replica.AsOf = o.history.AsOf(m.replica.Position)
	}
}

// replicaWait estimates how long a read waits until some replica is fresh enough. It
// returns false if no replica is expected to be.
func (o *Owner) replicaWait(need freshness.Requirement, now time.Time) (time.Duration, bool) {
	v := o.view()
	o.mu.Lock()
	reached := o.history.ReachedAt(need.Position)
	o.mu.Unlock()
	best, found := time.Duration(0), false
	for i, m := range v.members {
		if i == v.primary || !m.present || !m.follows || m.leaving {
			continue
		}
		if wait, ok := need.EstimateWait(m.replica, reached, now); ok && (!found || wait < best) {
			best, found = wait, true
		}
	}
	return best, found
}

// view returns the current view.
func (o *Owner) view() *view { return o.currentView.Load() }

// lastPosition returns the primary's position in its latest sample.
func (o *Owner) lastPosition() group.Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leadership == nil {
		return group.Position{}
	}
	return group.Position{Term: o.leadership.term, LSN: o.samples[o.leadership.primary].Status.Received}
}

// SetLeaving marks the members for which leaving returns true. They get no new work.
// leaving is called with the owner's lock held.
func (o *Owner) SetLeaving(leaving func(member string) bool) {
	o.mu.Lock()
	for i, m := range o.options.Group.Members {
		o.leaving[i] = leaving(m.Name)
	}
	o.publish()
	o.mu.Unlock()
	o.pool.dispatch()
	o.wake()
}

// probeAll makes all probers probe at once.
func (o *Owner) probeAll() {
	for _, p := range o.probers {
		p.wake()
	}
}

// leaderlessTimeout is how long a group may be without a confirmed primary before
// new requests are refused at once instead of waiting for the failover to end.
const leaderlessTimeout = 5 * time.Second

// confirmationTTL returns the maximum age of the last confirmation at which new
// writes are still sent.
func (o *Owner) confirmationTTL() time.Duration {
	t := o.options.Group.Timing
	return t.ProbeInterval + t.Silence
}

// leaderlessFor returns the time since a majority last confirmed a primary, or since
// the start if none has.
func (o *Owner) leaderlessFor(now time.Time) time.Duration {
	last := o.view().confirmedAt
	if last.IsZero() {
		last = o.started
	}
	return now.Sub(last)
}
