package upstream

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pearlatch/core/group"
)

const (
	// releaseTimeout bounds how long reads and confirmations under way may delay
	// the release of the owner lock.
	releaseTimeout = 200 * time.Millisecond
	// releasePollInterval is how often the owner looks whether they have ended.
	releasePollInterval = time.Millisecond
)

// Close hands the group over. New exchanges are refused at once. Reads and
// confirmations under way end, then the owner lock is released: the next owner
// serves from then on. Transactions that are still open go on here until ctx
// ends, and the next owner confirms them.
func (o *Owner) Close(ctx context.Context) {
	o.pool.close()
	quiet := o.awaitReadsAndWaiters(ctx, releaseTimeout)
	o.mu.Lock()
	o.phase = HandingOver
	o.publish()
	o.mu.Unlock()
	o.failWaiters()
	o.releaseOwnerLock(ctx, quiet)
	o.pool.drain(ctx)
	o.mu.Lock()
	o.phase = Stopped
	o.publish()
	o.mu.Unlock()
	o.stop()
	o.done.Wait()
	o.failWaiters()
}

// awaitReadsAndWaiters waits until no read runs on a replica and no write waits for its
// confirmation, and reports whether that was so within the limit.
func (o *Owner) awaitReadsAndWaiters(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		if o.readsAndWaitersDone() {
			return true
		}
		sleep(ctx, releasePollInterval)
	}
	return false
}

func (o *Owner) readsAndWaitersDone() bool {
	primary := o.view().primary
	o.mu.Lock()
	waiting := len(o.waiters)
	o.mu.Unlock()
	if waiting > 0 {
		return false
	}
	for i := range o.probers {
		if i != primary && !o.pool.isIdle(i) {
			return false
		}
	}
	return true
}

// releaseOwnerLock gives the owner lock back, and tells the next owner if nothing is
// answered here any more that depends on it.
func (o *Owner) releaseOwnerLock(ctx context.Context, quiet bool) {
	primary := o.view().primary
	if primary == group.NoMember || ctx.Err() != nil {
		return
	}
	unlockCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	held := false
	err := o.probers[primary].do(unlockCtx, func(ctx context.Context, conn *pgconn.PgConn, _ uint64) error {
		row, err := queryRow(ctx, conn, DropOwnerLockSQL)
		held = err == nil && row[0] == "t"
		return err
	})
	o.logStep("release_owner_lock", primary, err, "held", held, "quiet", quiet)
	// A lock that was not held has gone to somebody else, whose lease counts.
	if held && quiet && o.options.Successor != nil {
		o.options.Successor.Released(ctx)
	}
}

// PredecessorReleased records that the previous owner answers nothing any more.
func (o *Owner) PredecessorReleased() {
	o.mu.Lock()
	if o.holdsLock() {
		o.leadership.ackAfter = time.Time{}
		o.applySamples()
	} else {
		o.predecessorReleased = true
	}
	o.mu.Unlock()
	o.wake()
}

// ConfirmFor confirms what the primary of the term holds, on behalf of an owner
// that has handed the group over, and lets the session see it.
func (o *Owner) ConfirmFor(ctx context.Context, term group.Term, session string) error {
	p, err := o.confirm(ctx, term)
	if err == nil {
		o.marks.Raise(session, p)
	}
	return err
}

// isHandingOver reports whether the group is being handed over.
func (o *Owner) isHandingOver() bool { return o.view().phase >= HandingOver }
