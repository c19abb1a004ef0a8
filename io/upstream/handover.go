package upstream

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pearlatch/core/group"
)

const (
	// releaseTimeout is how long running reads and unconfirmed writes may delay the
	// release of the owner lock. It also bounds the release itself.
	releaseTimeout = 200 * time.Millisecond
	// releasePollInterval is the interval at which the owner checks for their end.
	releasePollInterval = time.Millisecond
)

// Close hands the group over and stops the owner. New exchanges are refused at
// once. After running reads and pending confirmations have ended, or after
// releaseTimeout, the owner lock is released and the next owner can serve.
// Transactions that are still open continue here until ctx ends, and the next owner
// confirms them.
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

// awaitReadsAndWaiters waits until no read runs on a replica and no write waits for
// its confirmation, and reports whether that happened within the limit.
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

// readsAndWaitersDone reports whether no read runs on a replica and no write waits
// for its confirmation.
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

// releaseOwnerLock releases the owner lock. If quiet is set, no answer that depends
// on the lease is sent here any more, and the next owner is told so.
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
	// If the lock was not held, another session may have taken it, and the next
	// owner must wait for that session's lease.
	if held && quiet && o.options.Successor != nil {
		o.options.Successor.Released(ctx)
	}
}

// PredecessorReleased records that the previous owner has released the owner lock
// and sends no more answers that depend on its lease, so that this owner need not
// wait for that lease to end.
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

// ConfirmFor confirms everything that the primary of the term has written, on behalf
// of an owner that hands the group over, and raises the session's mark accordingly.
func (o *Owner) ConfirmFor(ctx context.Context, term group.Term, session string) error {
	p, err := o.confirm(ctx, term)
	if err == nil {
		o.marks.Raise(session, p)
	}
	return err
}

// isHandingOver reports whether the group is being or has been handed over.
func (o *Owner) isHandingOver() bool { return o.view().phase >= HandingOver }
