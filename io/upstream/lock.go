package upstream

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// tryOwnerLock tries to take the owner lock and ends its holder when that has had
// time enough to hand the group over.
func (o *Owner) tryOwnerLock(ctx context.Context, conn *pgconn.PgConn) (bool, error) {
	row, err := queryRow(ctx, conn, TryOwnerLockSQL)
	if err != nil {
		return false, err
	}
	if row[0] == "t" {
		o.lockDeniedAt = time.Time{}
		return true, nil
	}
	if o.lockDeniedAt.IsZero() {
		o.lockDeniedAt = time.Now()
		_ = level.Info(o.logger).Log("step", "take_owner_lock", "taken", false)
	}
	if time.Since(o.lockDeniedAt) < lockHolderTimeout<<min(o.forcedUnlocks, maxForcedDoublings) || !o.canConfirm() {
		return false, nil
	}
	o.lockDeniedAt = time.Time{}
	o.forcedUnlocks++
	_ = level.Warn(o.logger).Log("step", "end_lock_holder", "times", o.forcedUnlocks)
	if _, err := queryRow(ctx, conn, EndOwnerSQL); err != nil {
		return false, err
	}
	row, err = queryRow(ctx, conn, TryOwnerLockSQL)
	return err == nil && row[0] == "t", err
}

// canConfirm reports whether a majority of the members is seen from here to
// hold the primary's log. A host that could not confirm a write must not take
// the lock from one that perhaps can.
func (o *Owner) canConfirm() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	led, ok := group.FindPrimary(o.samples).(group.Led)
	if !ok {
		return false
	}
	_, ok = group.Confirm(o.samples, led.Primary, time.Now().Add(-o.confirmationTTL()))
	return ok
}

// leaseExpiry returns when the lease of an earlier owner has certainly ended that
// could not be renewed from the given moment on.
func (o *Owner) leaseExpiry(from time.Time) time.Time {
	lease := o.options.Group.Timing.Lease
	return from.Add(lease + lease/leaseMarginDivisor)
}

// ackTime returns when a lock taken at the given moment may acknowledge: at
// once if the previous owner said that it answers nothing any more.
func (o *Owner) ackTime(taken time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.predecessorReleased {
		return taken
	}
	return o.leaseExpiry(taken)
}

// beginLeadership records the reign that a held lock stands for. The sample was asked for
// after the lock was taken, and the floor comes from it: whatever an earlier
// owner acknowledged lies below, since that owner needed the lock to acknowledge.
// What the previous owner said of its leaving holds for this reign alone.
func (o *Owner) beginLeadership(s group.Sample, number uint64, primary int, term group.Term, ackAfter time.Time) error {
	status := s.Status
	if !status.Leads() || status.Fence.Term != term {
		return errors.Errorf("no longer primary of term %d", term)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.predecessorReleased = false
	o.samples[primary] = s
	o.sampleConns[primary] = number
	o.unansweredSince[primary], o.connRefused[primary] = time.Time{}, false
	o.leadership = &leadership{
		primary:  primary,
		term:     term,
		conn:     number,
		floor:    group.Position{Term: term, LSN: status.Received},
		ackAfter: ackAfter,
	}
	o.publish()
	return nil
}

// sweepMember returns how many sessions of other owners stay on a member.
func (o *Owner) sweepMember(ctx context.Context, conn *pgconn.PgConn) (int, error) {
	apps, err := queryColumn(ctx, conn, ForeignSessionsSQL(appName(o.options)))
	if err != nil {
		return 0, err
	}
	stay := 0
	ended := map[string]bool{}
	for _, app := range apps {
		host := hostFromAppName(app)
		if ended[app] {
			continue
		}
		if o.options.HostGone == nil || !o.options.HostGone(host) {
			stay++
			continue
		}
		ended[app] = true
		if _, err := queryRow(ctx, conn, EndAppSQL(app)); err != nil {
			return stay, err
		}
	}
	return stay, nil
}

func (o *Owner) isPresent(i int) bool { return o.view().members[i].present }

// lockedPrimary returns the primary on which the owner lock is held over a connection
// that still stands, or group.NoMember.
func (o *Owner) lockedPrimary() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holdsLock() {
		return o.leadership.primary
	}
	return group.NoMember
}

// holdsLock reports whether the owner lock is held over a connection that still
// stands. o.mu is held.
func (o *Owner) holdsLock() bool {
	l := o.leadership
	return l != nil && o.sampleConns[l.primary] == l.conn && o.unansweredSince[l.primary].IsZero()
}
