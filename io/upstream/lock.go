package upstream

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// tryOwnerLock tries to take the owner lock. If another session has held it longer
// than lockHolderTimeout, doubled for each session ended before, it ends that session
// and tries again.
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

// canConfirm reports whether recent samples show that a majority of the members
// holds the primary's log. A host that cannot confirm writes must not take the lock
// from one that may be able to.
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

// leaseExpiry returns when an earlier owner's lease has certainly expired, if it
// could not be renewed after from. It includes a margin for clock drift.
func (o *Owner) leaseExpiry(from time.Time) time.Time {
	lease := o.options.Group.Timing.Lease
	return from.Add(lease + lease/leaseMarginDivisor)
}

// ackTime returns when an owner that took the lock at the given time may acknowledge
// writes: at once if the previous owner reported its release, otherwise after the
// previous owner's lease.
func (o *Owner) ackTime(taken time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.predecessorReleased {
		return taken
	}
	return o.leaseExpiry(taken)
}

// beginLeadership records that this owner leads the group under a lock that it holds
// on the primary. The sample must have been requested after the lock was taken: its
// position is the floor, and everything that an earlier owner acknowledged lies
// below it, since that owner needed the lock to acknowledge. The previous owner's
// report of its release is cleared, since it is valid for one leadership only. The
// error means that the member no longer leads the term.
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

// sweepMember ends the sessions of owners on hosts that are gone, and returns how
// many sessions of other owners remain on the member.
func (o *Owner) sweepMember(ctx context.Context, conn *pgconn.PgConn) (int, error) {
	apps, err := queryColumn(ctx, conn, ForeignSessionsSQL(appName(o.options)))
	if err != nil {
		return 0, err
	}
	remaining := 0
	ended := map[string]bool{}
	for _, app := range apps {
		host := hostFromAppName(app)
		if ended[app] {
			continue
		}
		if o.options.HostGone == nil || !o.options.HostGone(host) {
			remaining++
			continue
		}
		ended[app] = true
		if _, err := queryRow(ctx, conn, EndAppSQL(app)); err != nil {
			return remaining, err
		}
	}
	return remaining, nil
}

// isPresent reports whether the member answers probes.
func (o *Owner) isPresent(i int) bool { return o.view().members[i].present }

// lockedPrimary returns the primary on which this owner holds the owner lock over a
// connection that still answers probes, or group.NoMember.
func (o *Owner) lockedPrimary() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holdsLock() {
		return o.leadership.primary
	}
	return group.NoMember
}

// holdsLock reports whether this owner holds the owner lock over a connection that
// still answers probes. o.mu must be held.
func (o *Owner) holdsLock() bool {
	l := o.leadership
	return l != nil && o.sampleConns[l.primary] == l.conn && o.unansweredSince[l.primary].IsZero()
}
