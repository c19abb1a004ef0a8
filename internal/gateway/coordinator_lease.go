package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/internal/pause"
)

// coordinatorLease is the lease under which the entries of all duties of a host stand.
type coordinatorLease struct {
	host *Host

	mu    sync.Mutex
	lease int64
	// renewedAt is when the last renewal that succeeded, or the grant, was asked for; triedAt is when one was last tried.
	renewedAt, triedAt time.Time
}

// ensure returns the lease and when it was last renewed, after opening one if there is none. While it can't be renewed no
// duty is to be taken under it. One goroutine calls it.
func (l *coordinatorLease) ensure(ctx context.Context) (lease int64, renewed time.Time, err error) {
	now := l.host.now()
	l.mu.Lock()
	lease, renewed = l.lease, l.renewedAt
	l.mu.Unlock()
	switch {
	case lease != 0 && now.Sub(renewed) < 2*leadership.RenewalInterval:
		return lease, renewed, nil
	case lease != 0 && now.Sub(renewed) < coordinatorLeaseTTL:
		return 0, time.Time{}, errLeaseNotRenewed
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err = l.host.ports.Store.Grant(call, max(coordinatorLeaseTTL, l.host.settings.MinLeaseTTL))
	if err != nil {
		return 0, time.Time{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.renewedAt, l.triedAt = lease, now, now
	return lease, now, nil
}

// errLeaseNotRenewed means that the lease of a host's duties is about to end.
var errLeaseNotRenewed = errors.New("the lease of the host's duties can't be renewed")

// forget drops a lease that has ended.
func (l *coordinatorLease) forget(lease int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}

// end gives the lease back, and with it what stands under it.
func (l *coordinatorLease) end() {
	l.mu.Lock()
	lease := l.lease
	l.lease = 0
	l.mu.Unlock()
	l.host.endStoreLease(lease)
}

// renewalDue returns the lease if it is to be renewed.
func (l *coordinatorLease) renewalDue() (lease int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.host.now()
	return l.lease, l.lease != 0 && leadership.RenewalDue(now.Sub(l.renewedAt), now.Sub(l.triedAt))
}

// renew renews the lease and returns the epoch in which it stands, and when the renewal was asked for.
func (l *coordinatorLease) renew(ctx context.Context, lease int64) (epoch kv.Epoch, asked time.Time, err error) {
	asked = l.host.now()
	l.mu.Lock()
	l.triedAt = asked
	l.mu.Unlock()
	epoch, err = l.host.renewStoreLease(ctx, lease)
	if errors.Is(err, ErrNoLease) {
		l.forget(lease)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.lease == lease {
		l.renewedAt = asked
	}
	return epoch, asked, err
}

// keepCoordinatorLease renews the lease for as long as duties stand under it. It waits for nothing else, so that calls which take
// long lose no duty.
func (h *Host) keepCoordinatorLease(ctx context.Context) {
	for pause.For(ctx, coordinatorPollInterval) {
		if held := h.heldCoordinators(); len(held) > 0 {
			h.renewCoordinators(ctx, held)
		}
	}
}

// renewCoordinators renews the lease of the duties if that is due.
func (h *Host) renewCoordinators(ctx context.Context, held []*coordinator) {
	lease, due := h.coordinatorLease.renewalDue()
	if !due {
		return
	}
	epoch, asked, err := h.coordinatorLease.renew(ctx, lease)
	if err != nil {
		h.log("duties_not_renewed", "duties", len(held), "err", err)
	}
	var wait sync.WaitGroup
	for _, d := range held {
		if d.usesLease(lease) {
			wait.Go(func() { d.applyRenewal(ctx, asked, epoch, err) })
		}
	}
	wait.Wait()
}

// usesLease reports whether the duty's entry stands under the lease.
func (d *coordinator) usesLease(lease int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held && d.lease == lease
}

// applyRenewal takes over the outcome of a renewal of the lease. After one that failed, the platform may have taken the
// entry away and kept the lease, so that the next one succeeds: the entry itself is looked at then.
func (d *coordinator) applyRenewal(ctx context.Context, asked time.Time, epoch kv.Epoch, err error) {
	d.mu.Lock()
	unbroken := d.renewalsUnbroken
	d.renewalsUnbroken = unbroken && err == nil
	d.mu.Unlock()
	switch {
	case errors.Is(err, ErrNoLease):
		d.loseRole("lease ended")
		return
	case err != nil:
		return
	case epoch != d.acquiredEpoch():
		// The copy may have the lease and not the entry, so that others can take the duty meanwhile.
		d.loseRole(reasonStoreRestored)
		return
	case !unbroken:
		asked = d.host.now()
		switch err := d.checkEntry(ctx); {
		case errors.Is(err, errEntryLost):
			d.loseRole("entry taken away")
			return
		case err != nil:
			d.log("duty_not_renewed", "err", err)
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.renewalsUnbroken, d.renewedAt = true, asked
	d.host.quotas.Renewed(d.group.name, asked)
}
