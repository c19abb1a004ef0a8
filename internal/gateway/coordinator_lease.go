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

// coordinatorLease is the store lease under the entries of all coordinator roles of a host.
type coordinatorLease struct {
	host *Host

	mu      sync.Mutex
	leaseID int64
	// renewedAt is when the grant or the last successful renewal was requested. triedAt is when the grant or a renewal
	// was last attempted.
	renewedAt, triedAt time.Time
}

// ensure returns the lease and when it was last renewed. It requests a new lease if there is none or the last one has
// expired. While a renewal is overdue it returns errLeaseNotRenewed, since a role must not be acquired under a lease
// that is about to end. It must be called from a single goroutine.
func (l *coordinatorLease) ensure(ctx context.Context) (lease int64, renewed time.Time, err error) {
	now := l.host.now()
	l.mu.Lock()
	lease, renewed = l.leaseID, l.renewedAt
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
	l.leaseID, l.renewedAt, l.triedAt = lease, now, now
	return lease, now, nil
}

// errLeaseNotRenewed means that the coordinator lease was not renewed in time and is about to end.
var errLeaseNotRenewed = errors.New("the coordinator lease can't be renewed")

// forget drops the lease, which has ended, unless a newer one has replaced it.
func (l *coordinatorLease) forget(lease int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseID == lease {
		l.leaseID = 0
	}
}

// end revokes the lease in the store, which removes the entries under it.
func (l *coordinatorLease) end() {
	l.mu.Lock()
	lease := l.leaseID
	l.leaseID = 0
	l.mu.Unlock()
	l.host.endStoreLease(lease)
}

// renewalDue returns the lease, and whether it is to be renewed now.
func (l *coordinatorLease) renewalDue() (lease int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.host.now()
	return l.leaseID, l.leaseID != 0 && leadership.RenewalDue(now.Sub(l.renewedAt), now.Sub(l.triedAt))
}

// renew renews the lease. It returns the epoch in which the lease exists and when the renewal was requested.
func (l *coordinatorLease) renew(ctx context.Context, lease int64) (epoch kv.Epoch, requested time.Time, err error) {
	requested = l.host.now()
	l.mu.Lock()
	l.triedAt = requested
	l.mu.Unlock()
	epoch, err = l.host.renewStoreLease(ctx, lease)
	if errors.Is(err, ErrNoLease) {
		l.forget(lease)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.leaseID == lease {
		l.renewedAt = requested
	}
	return epoch, requested, err
}

// keepCoordinatorLease renews the lease while the host holds any role, until ctx ends. It waits for nothing else, so that
// slow calls elsewhere do not cost the host its roles.
func (h *Host) keepCoordinatorLease(ctx context.Context) {
	for pause.For(ctx, coordinatorPollInterval) {
		if held := h.heldCoordinators(); len(held) > 0 {
			h.renewCoordinators(ctx, held)
		}
	}
}

// renewCoordinators renews the lease if that is due, and applies the result to the given roles.
func (h *Host) renewCoordinators(ctx context.Context, held []*coordinator) {
	lease, due := h.coordinatorLease.renewalDue()
	if !due {
		return
	}
	epoch, requested, err := h.coordinatorLease.renew(ctx, lease)
	if err != nil {
		h.log("duties_not_renewed", "duties", len(held), "err", err)
	}
	var wait sync.WaitGroup
	for _, d := range held {
		if d.usesLease(lease) {
			wait.Go(func() { d.applyRenewal(ctx, requested, epoch, err) })
		}
	}
	wait.Wait()
}

// usesLease reports whether the role is held and its entry is under the lease.
func (d *coordinator) usesLease(lease int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held && d.leaseID == lease
}

// applyRenewal applies the result of a renewal of the lease to the role. While renewals failed, the platform may have
// removed the entry and kept the lease, so that a later renewal succeeds although the role is lost. The first successful
// renewal after a failed one therefore also checks the entry.
func (d *coordinator) applyRenewal(ctx context.Context, requested time.Time, epoch kv.Epoch, err error) {
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
		// The restored copy may have the lease but not the entry, so that another host can have acquired the role.
		d.loseRole(reasonStoreRestored)
		return
	case !unbroken:
		requested = d.host.now()
		switch err := d.checkEntry(ctx); {
		case errors.Is(err, errEntryLost):
			d.loseRole("entry removed")
			return
		case err != nil:
			d.log("duty_not_renewed", "err", err)
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.renewalsUnbroken, d.renewedAt = true, requested
	d.host.quotas.ExtendGranting(d.group.name, requested)
}
