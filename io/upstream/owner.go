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

// stepInterval is how often the owner looks for silence when nothing else wakes it.
const stepInterval = 10 * time.Millisecond

// idleStepInterval is the same while the group is idle.
const idleStepInterval = 200 * time.Millisecond

// Owner owns a database group: it holds the group's connections, confirms its
// writes and runs its failover. Use Start.
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
	// lastRequest is when the newest request came, in nanoseconds since 1970.
	lastRequest atomic.Int64

	mu              sync.Mutex
	samples         []group.Sample
	sampleConns     []uint64    // control connection of each sample
	unansweredSince []time.Time // when probes of the member began to fail, or zero
	connRefused     []bool      // the member refused or reset
	leaving         []bool
	history         freshness.PositionHistory
	phase           Phase
	leadership      *leadership
	waiters         map[*confirmWaiter]struct{}
	// lastTerm and lastEnd are the term that ended in the newest promotion here,
	// and the position up to which its log survived.
	lastTerm group.Term
	lastEnd  group.LSN
	// notBefore delays the next action, and attachAfter that of one member.
	notBefore   time.Time
	attachAfter []time.Time
	started     time.Time

	// rivalFence is the highest fence seen while no primary was in sight, rivalUntil
	// how long its host is waited for, and rivals how often that began.
	rivalFence     group.Fence
	rivalWaitUntil time.Time
	rivalWaits     int
	// foreignSessions is how many sessions of other owners were counted at swept.
	foreignSessions int
	sweptAt         time.Time
	// predecessorReleased is true once the previous owner said that it answers nothing any
	// more, so that its lease need not be waited for.
	predecessorReleased bool

	// lockDeniedAt is when another session was first found to hold the owner lock, and
	// forced how often one was ended. They belong to run.
	lockDeniedAt  time.Time
	forcedUnlocks int
}

// leadership is a reign over the group: an owner lock on the primary.
type leadership struct {
	primary int
	term    group.Term
	// conn is the control connection that holds the owner lock. Answers that
	// came over another one show nothing about the lock.
	conn uint64
	// floor is the primary's position, asked for after the lock was taken.
	floor group.Position
	// ackAfter is when the previous owner's lease has certainly ended. Until
	// then its host may still answer reads, which must not miss a write
	// acknowledged here.
	ackAfter time.Time
	// leaseUntil and confirmedAt are as in view.
	leaseUntil, confirmedAt time.Time
}

// Start begins to own a group. Close ends it.
func Start(o Options) *Owner {
	n := len(o.Group.Members)
	ctx, stop := context.WithCancel(context.Background())
	w := &Owner{
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
		w.leaving[i] = m.Leaving
		w.probers = append(w.probers, newProber(o, m, w.probeInterval, func(a probeResult) { w.observe(i, a) }))
	}
	w.publish()
	w.pool = newPool(w)
	for _, p := range w.probers {
		w.done.Go(func() { p.run(ctx) })
	}
	w.done.Go(func() { w.run(ctx) })
	return w
}

const (
	// idleTimeout is how long a group must be without requests to count as idle.
	idleTimeout = time.Second
	// idleProbeInterval is the pause between probes of an idle group's members. Nobody
	// waits for what they would tell, and the next request has all asked at once.
	idleProbeInterval = 2 * time.Second
)

// probeInterval returns the pause between two probes of a member.
func (o *Owner) probeInterval() time.Duration {
	if o.view().phase == Serving && time.Since(time.Unix(0, o.lastRequest.Load())) > idleTimeout {
		return max(idleProbeInterval, o.options.Group.Timing.ProbeInterval)
	}
	return o.options.Group.Timing.ProbeInterval
}

// recordRequest records a request, and wakes the probes of an idle group.
func (o *Owner) recordRequest() {
	now := time.Now()
	last := time.Unix(0, o.lastRequest.Swap(now.UnixNano()))
	if now.Sub(last) > idleTimeout {
		o.probeAll()
	}
}

// Group returns the configuration of the group.
func (o *Owner) Group() config.Group { return o.options.Group }

// run takes the decisions that need time or I/O.
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

// stepDelay returns how long the owner waits for something to happen before it looks
// by itself. Answers and missed probes wake it in any case.
func (o *Owner) stepDelay() time.Duration {
	if o.probeInterval() >= idleProbeInterval {
		return idleStepInterval
	}
	return stepInterval
}

// wake makes run take a step.
func (o *Owner) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// step carries out at most one change of the owner's standing.
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

// observe takes in the result of a probe.
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

// applySamples draws the consequences of the samples. o.mu is held.
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

// pruneMarks drops the marks that all present replicas have passed. A replica
// that is away is checked against the mark when it returns only if the mark is
// still there, so its absence keeps the marks.
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

// publish makes the present state visible to readers. o.mu is held.
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

// likelySuccessor returns the replica that has received the most of those that may be
// promoted. o.mu is held.
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

func (o *Owner) viewReplicas(v *view, l *leadership) {
	p := o.samples[l.primary].Status
	for i, s := range o.samples {
		if i == l.primary || !s.Answered() || !s.Status.InRecovery || s.Status.Fence.Term != l.term {
			continue
		}
		m := &v.members[i]
		// A replica that has not reached the term's first record shows an older
		// term's data: its position counts in that term.
		m.replica.Position = group.Position{Term: s.Status.LogTerm, LSN: s.Status.Replayed}
		m.follows = group.Follows(s.Status, p) || s.Status.LogTerm == l.term
		m.replica.AsOf = o.history.AsOf(m.replica.Position)
	}
}

// replicaWait predicts how long a read waits until some replica may answer it. It
// returns false when no replica is expected to.
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

func (o *Owner) view() *view { return o.currentView.Load() }

// lastPosition returns the primary's position as it was last heard.
func (o *Owner) lastPosition() group.Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leadership == nil {
		return group.Position{}
	}
	return group.Position{Term: o.leadership.term, LSN: o.samples[o.leadership.primary].Status.Received}
}

// SetLeaving marks members that must get no new work, by name.
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

// probeAll makes all probers ask at once.
func (o *Owner) probeAll() {
	for _, p := range o.probers {
		p.wake()
	}
}

// leaderlessTimeout is how long a group may be without a confirmed primary before new
// requests are refused at once instead of waiting for the failover to end.
const leaderlessTimeout = 5 * time.Second

// confirmationTTL is how old the last confirmation may be for new writes to be
// sent.
func (o *Owner) confirmationTTL() time.Duration {
	t := o.options.Group.Timing
	return t.ProbeInterval + t.Silence
}

// leaderlessFor returns for how long no majority has confirmed a primary.
func (o *Owner) leaderlessFor(now time.Time) time.Duration {
	last := o.view().confirmedAt
	if last.IsZero() {
		last = o.started
	}
	return now.Sub(last)
}
