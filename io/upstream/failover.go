package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// Bounds of the steps of a failover.
const (
	fenceTimeout   = 500 * time.Millisecond
	promoteTimeout = 3 * time.Second
	witnessTimeout = 150 * time.Millisecond
	lockTimeout    = time.Second
	attachTimeout  = 2 * time.Second
	// lockHolderTimeout is how long another session may hold the owner lock before
	// it is ended. It is longer than an owner needs to hand a group over when no
	// transaction is open.
	lockHolderTimeout = 300 * time.Millisecond
	// maxForcedDoublings bounds the doubling of lockPatience: two hosts that cannot agree
	// on who owns the group must not take the lock from each other in turns.
	maxForcedDoublings = 5
	// leaseMarginDivisor lengthens the wait for an earlier owner's lease by a quarter,
	// more than the clocks of two hosts drift apart in that time.
	leaseMarginDivisor = 4
	// sweepInterval is how often the sessions of an owner that hands the group
	// over are counted.
	sweepInterval = 50 * time.Millisecond
	// rivalBackoff is how long another host's promotion is waited for, doubled
	// with each one up to maxRivals times.
	rivalBackoff      = 500 * time.Millisecond
	maxRivalDoublings = 4
	// retryDelay is the pause before a failed step is tried again.
	retryDelay = 200 * time.Millisecond
)

// takeLock becomes owner under the present primary.
type takeLock struct {
	primary int
	term    group.Term
}

// promote replaces a primary that is gone, or fills a group that has none.
type promote struct {
	highest group.Term
	// suspect is the primary that is gone, or group.NoMember.
	suspect int
}

// switchOver replaces a primary that is about to leave.
type switchOver struct {
	primary int
	term    group.Term
}

// attach makes a replica follow the primary.
type attach struct {
	member, primary int
	// fence is the primary's.
	fence group.Fence
}

// sweep counts the sessions of other owners again.
type sweep struct{}

func (takeLock) isAction()   {}
func (sweep) isAction()      {}
func (promote) isAction()    {}
func (switchOver) isAction() {}
func (attach) isAction()     {}

// setPhase changes the phase, unless the owner was stopped.
func (o *Owner) setPhase(p Phase) {
	o.mu.Lock()
	if o.phase < HandingOver {
		o.phase = p
	}
	o.publish()
	o.mu.Unlock()
	o.pool.dispatch()
}

// retryLater makes next wait before the next action.
func (o *Owner) retryLater() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notBefore = time.Now().Add(retryDelay)
}

func (o *Owner) logStep(step string, member int, err error, more ...any) {
	logger := level.Info(o.logger)
	fields := []any{"step", step}
	if member != group.NoMember {
		fields = append(fields, "peer", o.options.Group.Members[member].Name)
	}
	if err != nil {
		logger = level.Warn(o.logger)
		fields = append(fields, "err", err)
	}
	_ = logger.Log(append(fields, more...)...)
}

// takeLock takes the owner lock on the primary.
func (o *Owner) takeLock(ctx context.Context, a takeLock) {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	var got bool
	err := o.probers[a.primary].do(ctx, func(ctx context.Context, conn *pgconn.PgConn, number uint64) error {
		var err error
		got, err = o.tryOwnerLock(ctx, conn)
		if err != nil || !got {
			return err
		}
		taken := time.Now()
		status, err := queryStatus(ctx, conn)
		if err != nil {
			return err
		}
		s := group.Sample{Status: status, SentAt: taken, ReceivedAt: time.Now()}
		return o.beginLeadership(s, number, a.primary, a.term, o.ackTime(taken))
	})
	if err != nil {
		o.logStep("take_owner_lock", a.primary, err)
	}
	if err != nil || !got {
		sleep(ctx, reconnectDelay)
		return
	}
	o.sweep(ctx)
	o.logStep("take_owner_lock", a.primary, nil, "taken", true, "term", uint64(a.term))
	o.setPhase(Serving)
}

// sweep ends what owners on hosts that are gone have left on the members, and
// counts what owners that hand the group over still hold there. Their
// connections and ours together stay within the group's budget.
func (o *Owner) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	var total atomic.Int64
	var wg sync.WaitGroup
	for i, p := range o.probers {
		if !o.isPresent(i) {
			continue
		}
		wg.Go(func() {
			err := p.do(ctx, func(ctx context.Context, conn *pgconn.PgConn, _ uint64) error {
				n, err := o.sweepMember(ctx, conn)
				total.Add(int64(n))
				return err
			})
			if err != nil {
				o.logStep("sweep", i, err)
			}
		})
	}
	wg.Wait()
	o.mu.Lock()
	o.foreignSessions, o.sweptAt = int(total.Load()), time.Now()
	o.mu.Unlock()
	o.pool.reserveForeign(int(total.Load()))
}

// promote replaces the primary after other hosts were asked about it.
func (o *Owner) promote(ctx context.Context, a promote) {
	if a.suspect != group.NoMember {
		if by := o.hostReaching(ctx, a.suspect); by != "" {
			o.retryLater()
			if o.options.Yield != nil {
				o.options.Yield(by)
			}
			return
		}
	}
	o.stats.promotions.Inc(1)
	o.logStep("promote", a.suspect, nil, "highest_term", uint64(a.highest))
	o.setPhase(Promoting)
	if err := o.replacePrimary(ctx, a.highest); err != nil {
		o.logStep("promote", group.NoMember, err)
		o.setPhase(Starting)
		o.retryLater()
		return
	}
	o.setPhase(Serving)
	o.sweep(ctx)
}

// hostReaching returns another host that reaches the member, or the empty string.
// With one, only the way from this host to the member is broken: a promotion
// would be false, and the other host can own the group.
func (o *Owner) hostReaching(ctx context.Context, member int) string {
	if o.options.Witness == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	t := o.options.Witness(ctx, o.options.Group.Members[member])
	o.logStep("ask_witnesses", member, nil, "asked", t.Asked, "answered", t.Answered, "reached", t.Reached)
	return t.ReachedBy
}

// replacePrimary fences a majority in a new term and promotes the best of it.
func (o *Owner) replacePrimary(ctx context.Context, highest group.Term) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	fence := group.Fence{Term: highest + 1, Host: o.options.Host}
	held := o.lockedPrimary()
	fenced := o.fenceAll(ctx, fence)
	ackAfter := o.leaseExpiry(time.Now())
	for _, f := range fenced {
		if f.Member == held && held == o.lockedPrimary() {
			// The lock was ours until its primary was fenced, so that no other
			// owner can have a lease.
			ackAfter = time.Now()
		}
	}
	best, ok := group.Candidate(fenced, len(o.probers), func(i int) bool { return o.isLeaving(i) })
	if !ok {
		return errors.Errorf("term %d: %d of %d members accepted the fence", fence.Term, len(fenced), len(o.probers))
	}
	o.attachOthers(ctx, fenced, best.Member, fence)
	err := o.probers[best.Member].do(ctx, func(ctx context.Context, conn *pgconn.PgConn, number uint64) error {
		return o.promoteMember(ctx, conn, number, best, fence, ackAfter)
	})
	if err != nil {
		return err
	}
	o.logStep("promoted", best.Member, nil, "term", uint64(fence.Term), "position", best.Received.String())
	return nil
}

func (o *Owner) isLeaving(i int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving[i]
}

// promoteMember promotes the chosen member and becomes its owner.
func (o *Owner) promoteMember(ctx context.Context, conn *pgconn.PgConn, number uint64, best group.FenceAck, fence group.Fence, ackAfter time.Time) error {
	steps := []string{PromoteSQL, WriteTermSQL(fence)}
	if o.options.Unsafe.SkipFence {
		steps = []string{SetFenceSQL(fence), ReloadSQL, PromoteSQL, WriteTermSQL(fence)}
	}
	if !best.InRecovery {
		// A primary that was fenced too, or one whose promotion was cut short.
		steps = []string{ReadWriteSQL, ReloadSQL, WriteTermSQL(fence)}
	}
	asked := time.Now()
	rows, err := execBatch(ctx, conn, append(steps, TryOwnerLockSQL, StatusSQL)...)
	if err != nil {
		return err
	}
	if rows[len(steps)][0] != "t" {
		// Another owner took the lock right after the promotion. It will serve.
		return errors.New("the owner lock was not taken")
	}
	status, err := parseStatus(rows[len(steps)+1])
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.lastTerm, o.lastEnd = best.LogTerm, best.Received
	o.mu.Unlock()
	return o.beginLeadership(group.Sample{Status: status, SentAt: asked, ReceivedAt: time.Now()}, number, best.Member, fence.Term, ackAfter)
}

// attach makes a replica follow the primary under the primary's fence.
func (o *Owner) attach(ctx context.Context, a attach) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	source := o.options.Group.Members[a.primary].Addr
	err := o.probers[a.member].do(ctx, func(ctx context.Context, conn *pgconn.PgConn, _ uint64) error {
		_, _, err := storeFence(ctx, conn, a.fence, func(group.Status) []string {
			return []string{FollowSQL(source)}
		})
		return err
	})
	o.logStep("attach", a.member, err, "term", uint64(a.fence.Term))
	o.probers[a.member].wake()
}

// switchOver promotes another member before the primary leaves. Callers' new
// work waits meanwhile.
func (o *Owner) switchOver(ctx context.Context, a switchOver) {
	started := time.Now()
	o.setPhase(Switching)
	holdCtx, cancel := context.WithTimeout(ctx, o.options.Group.Timing.SwitchoverHold)
	err := o.quiesce(holdCtx, a)
	cancel()
	if err == nil {
		err = o.replacePrimary(ctx, a.term)
	}
	o.logStep("switch_over", a.primary, err, "held", time.Since(started).String())
	if err != nil {
		o.retryLater()
	}
	o.setPhase(Serving)
}
