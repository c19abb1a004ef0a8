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

// ownerTick is how often the owner looks for silence when nothing else wakes it.
const ownerTick = 10 * time.Millisecond

// idleTick is the same while the group is idle.
const idleTick = 200 * time.Millisecond

// Owner owns a database group: it holds the group's connections, confirms its
// writes and runs its failover. Use Start.
type Owner struct {
	options Options
	logger  log.Logger
	probers []*prober
	pool    *pool
	marks   freshness.SessionMarks
	fixed   fixedPrimary
	stats   ownerStats
	wakeup  chan struct{}
	stop    context.CancelFunc
	done    sync.WaitGroup
	current atomic.Pointer[view]
	// lastRequest is when the newest request came, in nanoseconds since 1970.
	lastRequest atomic.Int64

	mu      sync.Mutex
	samples []group.Sample
	conns   []uint64    // control connection of each sample
	unheard []time.Time // when probes of the member began to fail, or zero
	gone    []bool      // the member refused or reset
	leaving []bool
	ages    freshness.PositionHistory
	phase   Phase
	lead    *lead
	waiters map[*waiter]struct{}
	// lastTerm and lastEnd are the term that ended in the newest promotion here,
	// and the position up to which its log survived.
	lastTerm group.Term
	lastEnd  group.LSN
	// notBefore delays the next action, and attachAfter that of one member.
	notBefore   time.Time
	attachAfter []time.Time
	started     time.Time

	// rival is the highest fence seen while no primary was in sight, rivalUntil
	// how long its host is waited for, and rivals how often that began.
	rival      group.Fence
	rivalUntil time.Time
	rivals     int
	// strangers is how many sessions of other owners were counted at swept.
	strangers int
	swept     time.Time
	// released is true once the previous owner said that it answers nothing any
	// more, so that its lease need not be waited for.
	released bool

	// denied is when another session was first found to hold the owner lock, and
	// forced how often one was ended. They belong to run.
	denied time.Time
	forced int
}

// lead is a reign over the group: an owner lock on the primary.
type lead struct {
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
		options: o,
		logger:  log.With(o.Logger, "group", o.Group.Name),
		wakeup:  make(chan struct{}, 1),
		stop:    stop,
		samples: make([]group.Sample, n),
		conns:   make([]uint64, n),
		unheard: make([]time.Time, n),
		gone:    make([]bool, n),
		leaving: make([]bool, n),
		waiters: map[*waiter]struct{}{},
		started: time.Now(),

		attachAfter: make([]time.Time, n),

		stats: newOwnerStats(o.Metrics, o.Group.Name),
	}
	for i, m := range o.Group.Members {
		w.leaving[i] = m.Leaving
		w.probers = append(w.probers, newProber(o, m, w.pace, func(a answer) { w.observe(i, a) }))
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
	// idleAfter is how long a group must be without requests to count as idle.
	idleAfter = time.Second
	// idleInterval is the pause between probes of an idle group's members. Nobody
	// waits for what they would tell, and the next request has all asked at once.
	idleInterval = 2 * time.Second
)

// pace returns the pause between two probes of a member.
func (o *Owner) pace() time.Duration {
	if o.view().phase == Serving && time.Since(time.Unix(0, o.lastRequest.Load())) > idleAfter {
		return max(idleInterval, o.options.Group.Timing.ProbeInterval)
	}
	return o.options.Group.Timing.ProbeInterval
}

// touch records a request, and wakes the probes of an idle group.
func (o *Owner) touch() {
	now := time.Now()
	last := time.Unix(0, o.lastRequest.Swap(now.UnixNano()))
	if now.Sub(last) > idleAfter {
		o.kickAll()
	}
}

// Group returns the configuration of the group.
func (o *Owner) Group() config.Group { return o.options.Group }

// run takes the decisions that need time or I/O.
func (o *Owner) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.step(ctx)
		t := time.NewTimer(o.tick())
		select {
		case <-o.wakeup:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// tick returns how long the owner waits for something to happen before it looks
// by itself. Answers and missed probes wake it in any case.
func (o *Owner) tick() time.Duration {
	if o.pace() >= idleInterval {
		return idleTick
	}
	return ownerTick
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
	switch a := o.next(time.Now()).(type) {
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
func (o *Owner) observe(i int, a answer) {
	o.mu.Lock()
	switch a := a.(type) {
	case heard:
		o.samples[i], o.conns[i] = a.sample, a.conn
		o.unheard[i], o.gone[i] = time.Time{}, false
	case missed:
		if o.unheard[i].IsZero() {
			o.unheard[i] = time.Now()
			_ = level.Warn(o.logger).Log("step", "probe", "peer", o.options.Group.Members[i].Name, "err", a.err)
		}
		o.gone[i] = a.gone
	}
	o.evaluate()
	o.publish()
	o.mu.Unlock()
	if _, miss := a.(missed); miss {
		o.pool.abandon(i)
	}
	o.pool.dispatch()
	o.wake()
}

// evaluate draws the consequences of the samples. o.mu is held.
func (o *Owner) evaluate() {
	l := o.lead
	if l == nil || o.conns[l.primary] != l.conn {
		return
	}
	if o.samples[l.primary].Status.Fence.Term != l.term || o.samples[l.primary].Status.InRecovery {
		return
	}
	if c, ok := group.Confirm(o.samples, l.primary, time.Time{}); ok {
		l.confirmedAt = c.AsOf
		l.leaseUntil = c.AsOf.Add(o.options.Group.Timing.Lease)
		o.ages.Observe(c.AsOf, group.Position{Term: l.term, LSN: o.samples[l.primary].Status.Received})
	}
	o.settle(l)
	o.forgetMarks(l)
}

// forgetMarks drops the marks that all present replicas have passed. A replica
// that is away is checked against the mark when it returns only if the mark is
// still there, so its absence keeps the marks.
func (o *Owner) forgetMarks(l *lead) {
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
		v.members[i].present = o.samples[i].Answered() && o.unheard[i].IsZero()
		v.members[i].leaving = o.leaving[i]
	}
	if l := o.lead; l != nil {
		v.primary, v.term, v.floor = l.primary, l.term, l.floor
		v.leaseUntil, v.confirmedAt = l.leaseUntil, l.confirmedAt
		o.viewReplicas(v, l)
		if o.phase == Switching || o.phase == Promoting {
			v.successor = o.likeliest(l)
		}
	}
	o.current.Store(v)
}

// likeliest returns the replica that has received the most of those that may be
// promoted. o.mu is held.
func (o *Owner) likeliest(l *lead) int {
	best := group.NoMember
	for i, s := range o.samples {
		if i == l.primary || o.leaving[i] || !s.Answered() || !s.Status.InRecovery || !o.unheard[i].IsZero() {
			continue
		}
		if best == group.NoMember || s.Status.Received > o.samples[best].Status.Received {
			best = i
		}
	}
	return best
}

func (o *Owner) viewReplicas(v *view, l *lead) {
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
		m.replica.AsOf = o.ages.AsOf(m.replica.Position)
	}
}

// replicaWait predicts how long a read waits until some replica may answer it. It
// returns false when no replica is expected to.
func (o *Owner) replicaWait(need freshness.Requirement, now time.Time) (time.Duration, bool) {
	v := o.view()
	o.mu.Lock()
	reached := o.ages.ReachedAt(need.Position)
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

func (o *Owner) view() *view { return o.current.Load() }

// seen returns the primary's position as it was last heard.
func (o *Owner) seen() group.Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lead == nil {
		return group.Position{}
	}
	return group.Position{Term: o.lead.term, LSN: o.samples[o.lead.primary].Status.Received}
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

// kickAll makes all probers ask at once.
func (o *Owner) kickAll() {
	for _, p := range o.probers {
		p.wake()
	}
}

// holdLimit is how long a group may be without a confirmed primary before new
// requests are refused at once instead of waiting for the failover to end.
const holdLimit = 5 * time.Second

// confirmPatience is how old the last confirmation may be for new writes to be
// sent.
func (o *Owner) confirmPatience() time.Duration {
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
